/* System calls that fail, a wall clock that is stepped, and a record of what is read after a connection's end.
 *
 * Preloaded into a process under test (LD_PRELOAD). Everything is controlled by one shared file, named by
 * FLINTSHIFT_SYSCALL_FAULTS, whose layout is `struct control`; syscall_faults.py writes and reads it while the process
 * runs. Without that variable nothing is changed. Rates are in calls of 1,000.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netdb.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define DESCRIPTORS 65536
#define CALLS 24

enum call { /* in the order of `Call` in syscall_faults.py */
    SOCKET, BIND, LISTEN, SETSOCKOPT, GETSOCKNAME, GETPEERNAME, ACCEPT, CONNECT, SOCKETPAIR, EVENTFD, EPOLL_CREATE,
    EPOLL_CTL, PIPE, SHUTDOWN, RECEIVE, SEND, OPEN, LOOKUP
};

struct control {
    int64_t clock_step_ns;          /* added to the wall clock */
    uint64_t seed;
    uint32_t socket_fails, accept_fails, connect_fails, short_io, interrupted, disk_fails;
    uint32_t reads_after_end;       /* reads of bytes from a connection after its end was sent */
    uint32_t requests_after_end;    /* of these, that began with a request line */
    struct call_fault { uint32_t rate; int32_t error; } calls[CALLS]; /* by `enum call`; error 0: drawn from its list */
    uint32_t disk_calls;            /* writes and syncs of regular files so far */
    uint32_t disk_first, disk_count; /* of these, so many from that one on fail, whatever the rate */
};

static struct control *control;
static uint64_t state;
static unsigned char ended[DESCRIPTORS]; /* by descriptor: 1 once its end was sent */

static uint32_t drawn(void) { /* xorshift64*; a race between threads changes only the draw */
    state ^= state >> 12;
    state ^= state << 25;
    state ^= state >> 27;
    return (uint32_t)((state * 2685821657736338717ull) >> 33);
}

__attribute__((constructor)) static void begin(void) {
    const char *path = getenv("FLINTSHIFT_SYSCALL_FAULTS");
    int file = path ? open(path, O_RDWR) : -1;
    if (file < 0) return;
    void *mapped = mmap(NULL, sizeof *control, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    close(file);
    if (mapped == MAP_FAILED) return;
    control = mapped;
    state = (control->seed + 1) * 0x9E3779B97F4A7C15ull | 1; /* the golden ratio: small seeds begin far apart */
    for (int i = 0; i < 16; i++) drawn();
}

#define REAL(name) \
    static __typeof__(&name) real; \
    if (!real) real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

static int hit(uint32_t rate) { return rate && drawn() % 1000 < rate; }

static int fails(uint32_t rate, const int *errors, int count) {
    if (!control || !hit(rate)) return 0;
    errno = errors[drawn() % (uint32_t)count];
    return 1;
}

static int is_kind(int descriptor, mode_t kind) {
    struct stat found;
    int before = errno, is = fstat(descriptor, &found) == 0 && (found.st_mode & S_IFMT) == kind;
    errno = before;
    return is;
}

static size_t shortened(int descriptor, size_t size) {
    if (control && size > 1 && hit(control->short_io) && is_kind(descriptor, S_IFSOCK)) return 1 + drawn() % (size - 1);
    return size;
}

static int interrupted(int descriptor) {
    if (!control || !hit(control->interrupted) || !is_kind(descriptor, S_IFSOCK)) return 0;
    errno = EINTR;
    return 1;
}

static ssize_t came(int descriptor, const void *data, ssize_t size) {
    if (control && size > 0 && descriptor >= 0 && descriptor < DESCRIPTORS && ended[descriptor]) {
        control->reads_after_end++;
        if (size >= 5 && memcmp(data, "POST ", 5) == 0) control->requests_after_end++;
    }
    return size;
}

/* What the manual pages name that may pass, and what the operators' terms add: any of these may meet any of the three. */
#define PASSING ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EADDRNOTAVAIL, ENETUNREACH
static const int SOCKET_ERRORS[] = {PASSING};
static const int ACCEPT_ERRORS[] = {PASSING, EPROTO, ENETDOWN, EHOSTDOWN, ENONET, EHOSTUNREACH, ETIMEDOUT};
static const int CONNECT_ERRORS[] = {PASSING, ETIMEDOUT, EHOSTUNREACH, ECONNREFUSED, EADDRINUSE, EAGAIN, ECONNRESET};
static const int BIND_ERRORS[] = {PASSING, EADDRINUSE, EAGAIN};
static const int OPTION_ERRORS[] = {ENOMEM, ENOBUFS, EINVAL, ENOPROTOOPT};
static const int NAME_ERRORS[] = {ENOBUFS, ENOTCONN, EINVAL};
static const int DESCRIPTOR_ERRORS[] = {EMFILE, ENFILE, ENOMEM};
static const int EPOLL_ERRORS[] = {ENOMEM, ENOSPC};
static const int BROKEN_ERRORS[] = {ECONNRESET, ETIMEDOUT, EHOSTUNREACH, EPIPE, ENOBUFS};
static const int END_ERRORS[] = {ENOTCONN, ENOBUFS};
static const int OPEN_ERRORS[] = {EMFILE, ENFILE, EIO, ENOMEM};
static const int DISK_ERRORS[] = {ENOSPC, EIO};
#define COUNT(array) ((int)(sizeof(array) / sizeof *(array)))

static int call_fails(enum call call, const int *errors, int count) {
    if (!control || !hit(control->calls[call].rate)) return 0;
    int error = control->calls[call].error;
    errno = error ? error : errors[drawn() % (uint32_t)count];
    return 1;
}
#define FAILS(call, errors) call_fails(call, errors, COUNT(errors))

static int taken(int descriptor) {
    if (descriptor >= 0 && descriptor < DESCRIPTORS) ended[descriptor] = 0;
    return descriptor;
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    if (control && domain != AF_UNIX && fails(control->socket_fails, SOCKET_ERRORS, COUNT(SOCKET_ERRORS))) return -1;
    if (domain != AF_UNIX && FAILS(SOCKET, SOCKET_ERRORS)) return -1;
    return taken(real(domain, type, protocol)); /* the event loop closes descriptors by the system call itself */
}

int accept(int listener, struct sockaddr *address, socklen_t *size) {
    REAL(accept);
    if (control && fails(control->accept_fails, ACCEPT_ERRORS, COUNT(ACCEPT_ERRORS))) return -1;
    if (FAILS(ACCEPT, ACCEPT_ERRORS)) return -1;
    return taken(real(listener, address, size));
}

int accept4(int listener, struct sockaddr *address, socklen_t *size, int flags) {
    REAL(accept4);
    if (control && fails(control->accept_fails, ACCEPT_ERRORS, COUNT(ACCEPT_ERRORS))) return -1;
    if (FAILS(ACCEPT, ACCEPT_ERRORS)) return -1;
    return taken(real(listener, address, size, flags));
}

int connect(int descriptor, const struct sockaddr *address, socklen_t size) {
    REAL(connect);
    if (control && address->sa_family != AF_UNIX &&
        fails(control->connect_fails, CONNECT_ERRORS, COUNT(CONNECT_ERRORS)))
        return -1;
    if (address->sa_family != AF_UNIX && FAILS(CONNECT, CONNECT_ERRORS)) return -1;
    return real(descriptor, address, size);
}

int bind(int descriptor, const struct sockaddr *address, socklen_t size) {
    REAL(bind);
    if (address->sa_family != AF_UNIX && FAILS(BIND, BIND_ERRORS)) return -1;
    return real(descriptor, address, size);
}

int listen(int descriptor, int backlog) {
    REAL(listen);
    return FAILS(LISTEN, BIND_ERRORS) ? -1 : real(descriptor, backlog);
}

int setsockopt(int descriptor, int level, int option, const void *value, socklen_t size) {
    REAL(setsockopt);
    return FAILS(SETSOCKOPT, OPTION_ERRORS) ? -1 : real(descriptor, level, option, value, size);
}

int getsockname(int descriptor, struct sockaddr *address, socklen_t *size) {
    REAL(getsockname);
    return FAILS(GETSOCKNAME, NAME_ERRORS) ? -1 : real(descriptor, address, size);
}

int getpeername(int descriptor, struct sockaddr *address, socklen_t *size) {
    REAL(getpeername);
    return FAILS(GETPEERNAME, NAME_ERRORS) ? -1 : real(descriptor, address, size);
}

int socketpair(int domain, int type, int protocol, int pair[2]) {
    REAL(socketpair);
    if (FAILS(SOCKETPAIR, DESCRIPTOR_ERRORS)) return -1;
    int result = real(domain, type, protocol, pair);
    if (result == 0) taken(pair[0]), taken(pair[1]);
    return result;
}

int eventfd(unsigned int count, int flags) {
    REAL(eventfd);
    return FAILS(EVENTFD, DESCRIPTOR_ERRORS) ? -1 : taken(real(count, flags));
}

int epoll_create1(int flags) {
    REAL(epoll_create1);
    return FAILS(EPOLL_CREATE, DESCRIPTOR_ERRORS) ? -1 : taken(real(flags));
}

int epoll_ctl(int epoll, int operation, int descriptor, struct epoll_event *event) {
    REAL(epoll_ctl);
    if (operation == EPOLL_CTL_ADD && FAILS(EPOLL_CTL, EPOLL_ERRORS)) return -1; /* no other needs memory */
    return real(epoll, operation, descriptor, event);
}

int pipe2(int pair[2], int flags) {
    REAL(pipe2);
    return FAILS(PIPE, DESCRIPTOR_ERRORS) ? -1 : real(pair, flags);
}

int open64(const char *path, int flags, ...) {
    REAL(open64);
    va_list more;
    va_start(more, flags);
    mode_t mode = va_arg(more, mode_t); /* of no meaning where no file is made */
    va_end(more);
    return FAILS(OPEN, OPEN_ERRORS) ? -1 : real(path, flags, mode);
}

int getaddrinfo(const char *host, const char *service, const struct addrinfo *wanted, struct addrinfo **found) {
    REAL(getaddrinfo);
    int numeric = host && host[strspn(host, "0123456789.:")] == 0; /* no name: nothing is asked */
    if (!numeric && FAILS(LOOKUP, DESCRIPTOR_ERRORS)) return EAI_AGAIN;
    return real(host, service, wanted, found);
}

int shutdown(int descriptor, int how) {
    REAL(shutdown);
    if (FAILS(SHUTDOWN, END_ERRORS)) return -1;
    if (how != SHUT_RD && descriptor >= 0 && descriptor < DESCRIPTORS) ended[descriptor] = 1;
    return real(descriptor, how);
}

int close(int descriptor) {
    REAL(close);
    if (descriptor >= 0 && descriptor < DESCRIPTORS) ended[descriptor] = 0;
    return real(descriptor);
}

ssize_t read(int descriptor, void *data, size_t size) {
    REAL(read);
    if (interrupted(descriptor)) return -1;
    if (control && control->calls[RECEIVE].rate && is_kind(descriptor, S_IFSOCK) && FAILS(RECEIVE, BROKEN_ERRORS)) return -1;
    return came(descriptor, data, real(descriptor, data, shortened(descriptor, size)));
}

ssize_t recv(int descriptor, void *data, size_t size, int flags) {
    REAL(recv);
    if (interrupted(descriptor)) return -1;
    if (control && control->calls[RECEIVE].rate && is_kind(descriptor, S_IFSOCK) && FAILS(RECEIVE, BROKEN_ERRORS)) return -1;
    ssize_t got = real(descriptor, data, shortened(descriptor, size), flags);
    return flags & MSG_PEEK ? got : came(descriptor, data, got);
}

static int disk_refuses(int descriptor) {
    if (!control || descriptor <= 2 || !is_kind(descriptor, S_IFREG)) return 0;
    uint32_t call = __atomic_fetch_add(&control->disk_calls, 1, __ATOMIC_RELAXED); /* syncs are made by threads */
    if (call - control->disk_first < control->disk_count) {
        errno = DISK_ERRORS[call % COUNT(DISK_ERRORS)];
        return 1;
    }
    return fails(control->disk_fails, DISK_ERRORS, COUNT(DISK_ERRORS));
}

ssize_t write(int descriptor, const void *data, size_t size) {
    REAL(write);
    if (disk_refuses(descriptor)) return size > 1 && drawn() % 3 == 0 ? real(descriptor, data, size / 2) : -1;
    if (interrupted(descriptor)) return -1;
    if (control && control->calls[SEND].rate && is_kind(descriptor, S_IFSOCK) && FAILS(SEND, BROKEN_ERRORS)) return -1;
    return real(descriptor, data, shortened(descriptor, size));
}

ssize_t pwrite64(int descriptor, const void *data, size_t size, off64_t at) {
    REAL(pwrite64);
    if (disk_refuses(descriptor)) return -1;
    return real(descriptor, data, size, at);
}

ssize_t send(int descriptor, const void *data, size_t size, int flags) {
    REAL(send);
    if (interrupted(descriptor)) return -1;
    if (FAILS(SEND, BROKEN_ERRORS)) return -1;
    return real(descriptor, data, shortened(descriptor, size), flags);
}

ssize_t writev(int descriptor, const struct iovec *parts, int count) {
    REAL(writev);
    if (disk_refuses(descriptor) || interrupted(descriptor)) return -1;
    if (count > 1 && control && hit(control->short_io) && is_kind(descriptor, S_IFSOCK)) count = 1;
    return real(descriptor, parts, count);
}

int fsync(int descriptor) {
    REAL(fsync);
    return disk_refuses(descriptor) ? -1 : real(descriptor);
}

int fdatasync(int descriptor) {
    REAL(fdatasync);
    return disk_refuses(descriptor) ? -1 : real(descriptor);
}

static int wait_interrupted(void) {
    if (!control || !hit(control->interrupted)) return 0;
    errno = EINTR;
    return 1;
}

int epoll_wait(int epoll, struct epoll_event *events, int most, int timeout) {
    REAL(epoll_wait);
    return wait_interrupted() ? -1 : real(epoll, events, most, timeout);
}

int epoll_pwait(int epoll, struct epoll_event *events, int most, int timeout, const sigset_t *mask) {
    REAL(epoll_pwait);
    return wait_interrupted() ? -1 : real(epoll, events, most, timeout, mask);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    REAL(clock_gettime);
    int result = real(clock, now);
    if (result == 0 && control && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t ns = (int64_t)now->tv_sec * 1000000000 + now->tv_nsec + control->clock_step_ns;
        now->tv_sec = ns / 1000000000;
        now->tv_nsec = ns % 1000000000;
    }
    return result;
}
