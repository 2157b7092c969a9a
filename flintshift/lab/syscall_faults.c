/* Injects failing system calls and wall clock adjustments into a process, and counts what the process reads from a
 * connection after shutting down its sending side.
 *
 * Preloaded into the process under test (LD_PRELOAD). It is controlled through one shared file, named by the variable
 * FLINTSHIFT_SYSCALL_FAULTS, whose layout is `struct control`; syscall_faults.py writes and reads it while the process
 * runs. Without that variable no call is changed. A rate is the number of calls in 1,000 that fail.
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

#define MAX_DESCRIPTORS 65536
#define MAX_CALLS 24

enum call { /* in the order of `Call` in syscall_faults.py; a value is the call's index in `calls` */
    SOCKET, BIND, LISTEN, SETSOCKOPT, GETSOCKNAME, GETPEERNAME, ACCEPT, CONNECT, SOCKETPAIR, EVENTFD, EPOLL_CREATE,
    EPOLL_CTL, PIPE, SHUTDOWN, RECEIVE, SEND, OPEN, LOOKUP
};

struct control {
    int64_t clock_step_ns;          /* added to the wall clock */
    uint64_t seed;
    uint32_t socket_fails, accept_fails, connect_fails, short_io, interrupted, disk_fails;
    uint32_t reads_after_end;       /* reads of bytes after the process had shut down its sending side */
    uint32_t requests_after_end;    /* of these, those whose bytes began with a request line */
    struct call_fault { uint32_t rate; int32_t error; } calls[MAX_CALLS]; /* by `enum call`; error 0: one of its list */
    uint32_t disk_calls;            /* writes and syncs of regular files so far */
    uint32_t disk_first, disk_count; /* of these, `disk_count` fail from number `disk_first` on, at any rate */
};

static struct control *control;
static uint64_t random_state;
static unsigned char send_closed[MAX_DESCRIPTORS]; /* by descriptor: 1 once its sending side is shut down */

static uint32_t draw_random(void) { /* xorshift64*; a race between threads changes only the number drawn */
    random_state ^= random_state >> 12;
    random_state ^= random_state << 25;
    random_state ^= random_state >> 27;
    return (uint32_t)((random_state * 2685821657736338717ull) >> 33);
}

__attribute__((constructor)) static void map_control(void) {
    const char *path = getenv("FLINTSHIFT_SYSCALL_FAULTS");
    int file = path ? open(path, O_RDWR) : -1;
    if (file < 0) return;
    void *mapped = mmap(NULL, sizeof *control, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    close(file);
    if (mapped == MAP_FAILED) return;
    control = mapped;
    random_state = (control->seed + 1) * 0x9E3779B97F4A7C15ull | 1; /* golden ratio: small seeds start far apart */
    for (int i = 0; i < 16; i++) draw_random();
}

#define RESOLVE_REAL(name) \
    static __typeof__(&name) real; \
    if (!real) real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

static int is_selected(uint32_t rate) { return rate && draw_random() % 1000 < rate; }

static int fail_at_rate(uint32_t rate, const int *errors, int count) {
    if (!control || !is_selected(rate)) return 0;
    errno = errors[draw_random() % (uint32_t)count];
    return 1;
}

static int has_file_type(int descriptor, mode_t type) {
    struct stat status;
    int saved_errno = errno, matches = fstat(descriptor, &status) == 0 && (status.st_mode & S_IFMT) == type;
    errno = saved_errno;
    return matches;
}

static size_t limit_transfer(int descriptor, size_t size) {
    if (control && size > 1 && is_selected(control->short_io) && has_file_type(descriptor, S_IFSOCK))
        return 1 + draw_random() % (size - 1);
    return size;
}

static int interrupt_socket_call(int descriptor) {
    if (!control || !is_selected(control->interrupted) || !has_file_type(descriptor, S_IFSOCK)) return 0;
    errno = EINTR;
    return 1;
}

static ssize_t count_read_after_end(int descriptor, const void *data, ssize_t size) {
    if (control && size > 0 && descriptor >= 0 && descriptor < MAX_DESCRIPTORS && send_closed[descriptor]) {
        control->reads_after_end++;
        if (size >= 5 && memcmp(data, "POST ", 5) == 0) control->requests_after_end++;
    }
    return size;
}

/* Transient errors: those that the manual pages name, and those that the operators require beyond them. Each one may
 * occur in any of socket, accept and connect. */
#define TRANSIENT_ERRORS ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EADDRNOTAVAIL, ENETUNREACH
static const int SOCKET_ERRORS[] = {TRANSIENT_ERRORS};
static const int ACCEPT_ERRORS[] = {TRANSIENT_ERRORS, EPROTO, ENETDOWN, EHOSTDOWN, ENONET, EHOSTUNREACH, ETIMEDOUT};
static const int CONNECT_ERRORS[] = {TRANSIENT_ERRORS, ETIMEDOUT, EHOSTUNREACH, ECONNREFUSED,
                                     EADDRINUSE, EAGAIN, ECONNRESET};
static const int BIND_ERRORS[] = {TRANSIENT_ERRORS, EADDRINUSE, EAGAIN};
static const int OPTION_ERRORS[] = {ENOMEM, ENOBUFS, EINVAL, ENOPROTOOPT};
static const int NAME_ERRORS[] = {ENOBUFS, ENOTCONN, EINVAL};
static const int DESCRIPTOR_ERRORS[] = {EMFILE, ENFILE, ENOMEM};
static const int EPOLL_ERRORS[] = {ENOMEM, ENOSPC};
static const int TRANSFER_ERRORS[] = {ECONNRESET, ETIMEDOUT, EHOSTUNREACH, EPIPE, ENOBUFS};
static const int SHUTDOWN_ERRORS[] = {ENOTCONN, ENOBUFS};
static const int OPEN_ERRORS[] = {EMFILE, ENFILE, EIO, ENOMEM};
static const int DISK_ERRORS[] = {ENOSPC, EIO};
#define ARRAY_LENGTH(array) ((int)(sizeof(array) / sizeof *(array)))

static int fail_call(enum call call, const int *errors, int count) {
    if (!control || !is_selected(control->calls[call].rate)) return 0;
    int error = control->calls[call].error;
    errno = error ? error : errors[draw_random() % (uint32_t)count];
    return 1;
}
#define FAIL_CALL(call, errors) fail_call(call, errors, ARRAY_LENGTH(errors))

static int mark_open(int descriptor) {
    if (descriptor >= 0 && descriptor < MAX_DESCRIPTORS) send_closed[descriptor] = 0;
    return descriptor;
}

int socket(int domain, int type, int protocol) {
    RESOLVE_REAL(socket);
    if (control && domain != AF_UNIX &&
        fail_at_rate(control->socket_fails, SOCKET_ERRORS, ARRAY_LENGTH(SOCKET_ERRORS)))
        return -1;
    if (domain != AF_UNIX && FAIL_CALL(SOCKET, SOCKET_ERRORS)) return -1;
    return mark_open(real(domain, type, protocol)); /* the event loop closes descriptors without libc's close */
}

int accept(int listener, struct sockaddr *address, socklen_t *size) {
    RESOLVE_REAL(accept);
    if (control && fail_at_rate(control->accept_fails, ACCEPT_ERRORS, ARRAY_LENGTH(ACCEPT_ERRORS))) return -1;
    if (FAIL_CALL(ACCEPT, ACCEPT_ERRORS)) return -1;
    return mark_open(real(listener, address, size));
}

int accept4(int listener, struct sockaddr *address, socklen_t *size, int flags) {
    RESOLVE_REAL(accept4);
    if (control && fail_at_rate(control->accept_fails, ACCEPT_ERRORS, ARRAY_LENGTH(ACCEPT_ERRORS))) return -1;
    if (FAIL_CALL(ACCEPT, ACCEPT_ERRORS)) return -1;
    return mark_open(real(listener, address, size, flags));
}

int connect(int descriptor, const struct sockaddr *address, socklen_t size) {
    RESOLVE_REAL(connect);
    if (control && address->sa_family != AF_UNIX &&
        fail_at_rate(control->connect_fails, CONNECT_ERRORS, ARRAY_LENGTH(CONNECT_ERRORS)))
        return -1;
    if (address->sa_family != AF_UNIX && FAIL_CALL(CONNECT, CONNECT_ERRORS)) return -1;
    return real(descriptor, address, size);
}

int bind(int descriptor, const struct sockaddr *address, socklen_t size) {
    RESOLVE_REAL(bind);
    if (address->sa_family != AF_UNIX && FAIL_CALL(BIND, BIND_ERRORS)) return -1;
    return real(descriptor, address, size);
}

int listen(int descriptor, int backlog) {
    RESOLVE_REAL(listen);
    return FAIL_CALL(LISTEN, BIND_ERRORS) ? -1 : real(descriptor, backlog);
}

int setsockopt(int descriptor, int level, int option, const void *value, socklen_t size) {
    RESOLVE_REAL(setsockopt);
    return FAIL_CALL(SETSOCKOPT, OPTION_ERRORS) ? -1 : real(descriptor, level, option, value, size);
}

int getsockname(int descriptor, struct sockaddr *address, socklen_t *size) {
    RESOLVE_REAL(getsockname);
    return FAIL_CALL(GETSOCKNAME, NAME_ERRORS) ? -1 : real(descriptor, address, size);
}

int getpeername(int descriptor, struct sockaddr *address, socklen_t *size) {
    RESOLVE_REAL(getpeername);
    return FAIL_CALL(GETPEERNAME, NAME_ERRORS) ? -1 : real(descriptor, address, size);
}

int socketpair(int domain, int type, int protocol, int pair[2]) {
    RESOLVE_REAL(socketpair);
    if (FAIL_CALL(SOCKETPAIR, DESCRIPTOR_ERRORS)) return -1;
    int result = real(domain, type, protocol, pair);
    if (result == 0) mark_open(pair[0]), mark_open(pair[1]);
    return result;
}

int eventfd(unsigned int count, int flags) {
    RESOLVE_REAL(eventfd);
    return FAIL_CALL(EVENTFD, DESCRIPTOR_ERRORS) ? -1 : mark_open(real(count, flags));
}

int epoll_create1(int flags) {
    RESOLVE_REAL(epoll_create1);
    return FAIL_CALL(EPOLL_CREATE, DESCRIPTOR_ERRORS) ? -1 : mark_open(real(flags));
}

int epoll_ctl(int epoll, int operation, int descriptor, struct epoll_event *event) {
    RESOLVE_REAL(epoll_ctl);
    if (operation == EPOLL_CTL_ADD && FAIL_CALL(EPOLL_CTL, EPOLL_ERRORS)) return -1; /* only ADD allocates memory */
    return real(epoll, operation, descriptor, event);
}

int pipe2(int pair[2], int flags) {
    RESOLVE_REAL(pipe2);
    return FAIL_CALL(PIPE, DESCRIPTOR_ERRORS) ? -1 : real(pair, flags);
}

int open64(const char *path, int flags, ...) {
    RESOLVE_REAL(open64);
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = va_arg(arguments, mode_t); /* meaningless unless a file is created */
    va_end(arguments);
    return FAIL_CALL(OPEN, OPEN_ERRORS) ? -1 : real(path, flags, mode);
}

int getaddrinfo(const char *host, const char *service, const struct addrinfo *hints, struct addrinfo **found) {
    RESOLVE_REAL(getaddrinfo);
    int numeric = host && host[strspn(host, "0123456789.:")] == 0; /* an address needs no lookup */
    if (!numeric && FAIL_CALL(LOOKUP, DESCRIPTOR_ERRORS)) return EAI_AGAIN;
    return real(host, service, hints, found);
}

int shutdown(int descriptor, int how) {
    RESOLVE_REAL(shutdown);
    if (FAIL_CALL(SHUTDOWN, SHUTDOWN_ERRORS)) return -1;
    if (how != SHUT_RD && descriptor >= 0 && descriptor < MAX_DESCRIPTORS) send_closed[descriptor] = 1;
    return real(descriptor, how);
}

int close(int descriptor) {
    RESOLVE_REAL(close);
    if (descriptor >= 0 && descriptor < MAX_DESCRIPTORS) send_closed[descriptor] = 0;
    return real(descriptor);
}

ssize_t read(int descriptor, void *data, size_t size) {
    RESOLVE_REAL(read);
    if (interrupt_socket_call(descriptor)) return -1;
    if (control && control->calls[RECEIVE].rate && has_file_type(descriptor, S_IFSOCK) &&
        FAIL_CALL(RECEIVE, TRANSFER_ERRORS))
        return -1;
    return count_read_after_end(descriptor, data, real(descriptor, data, limit_transfer(descriptor, size)));
}

ssize_t recv(int descriptor, void *data, size_t size, int flags) {
    RESOLVE_REAL(recv);
    if (interrupt_socket_call(descriptor)) return -1;
    if (control && control->calls[RECEIVE].rate && has_file_type(descriptor, S_IFSOCK) &&
        FAIL_CALL(RECEIVE, TRANSFER_ERRORS))
        return -1;
    ssize_t received = real(descriptor, data, limit_transfer(descriptor, size), flags);
    return flags & MSG_PEEK ? received : count_read_after_end(descriptor, data, received);
}

static int fail_disk_call(int descriptor) {
    if (!control || descriptor <= 2 || !has_file_type(descriptor, S_IFREG)) return 0;
    uint32_t call = __atomic_fetch_add(&control->disk_calls, 1, __ATOMIC_RELAXED); /* threads make the syncs */
    if (call - control->disk_first < control->disk_count) {
        errno = DISK_ERRORS[call % ARRAY_LENGTH(DISK_ERRORS)];
        return 1;
    }
    return fail_at_rate(control->disk_fails, DISK_ERRORS, ARRAY_LENGTH(DISK_ERRORS));
}

ssize_t write(int descriptor, const void *data, size_t size) {
    RESOLVE_REAL(write);
    if (fail_disk_call(descriptor)) return size > 1 && draw_random() % 3 == 0 ? real(descriptor, data, size / 2) : -1;
    if (interrupt_socket_call(descriptor)) return -1;
    if (control && control->calls[SEND].rate && has_file_type(descriptor, S_IFSOCK) &&
        FAIL_CALL(SEND, TRANSFER_ERRORS))
        return -1;
    return real(descriptor, data, limit_transfer(descriptor, size));
}

ssize_t pwrite64(int descriptor, const void *data, size_t size, off64_t at) {
    RESOLVE_REAL(pwrite64);
    if (fail_disk_call(descriptor)) return -1;
    return real(descriptor, data, size, at);
}

ssize_t send(int descriptor, const void *data, size_t size, int flags) {
    RESOLVE_REAL(send);
    if (interrupt_socket_call(descriptor)) return -1;
    if (FAIL_CALL(SEND, TRANSFER_ERRORS)) return -1;
    return real(descriptor, data, limit_transfer(descriptor, size), flags);
}

ssize_t writev(int descriptor, const struct iovec *parts, int count) {
    RESOLVE_REAL(writev);
    if (fail_disk_call(descriptor) || interrupt_socket_call(descriptor)) return -1;
    if (count > 1 && control && is_selected(control->short_io) && has_file_type(descriptor, S_IFSOCK)) count = 1;
    return real(descriptor, parts, count);
}

int fsync(int descriptor) {
    RESOLVE_REAL(fsync);
    return fail_disk_call(descriptor) ? -1 : real(descriptor);
}

int fdatasync(int descriptor) {
    RESOLVE_REAL(fdatasync);
    return fail_disk_call(descriptor) ? -1 : real(descriptor);
}

static int interrupt_wait(void) {
    if (!control || !is_selected(control->interrupted)) return 0;
    errno = EINTR;
    return 1;
}

int epoll_wait(int epoll, struct epoll_event *events, int max_events, int timeout) {
    RESOLVE_REAL(epoll_wait);
    return interrupt_wait() ? -1 : real(epoll, events, max_events, timeout);
}

int epoll_pwait(int epoll, struct epoll_event *events, int max_events, int timeout, const sigset_t *mask) {
    RESOLVE_REAL(epoll_pwait);
    return interrupt_wait() ? -1 : real(epoll, events, max_events, timeout, mask);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    RESOLVE_REAL(clock_gettime);
    int result = real(clock, now);
    if (result == 0 && control && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t ns = (int64_t)now->tv_sec * 1000000000 + now->tv_nsec + control->clock_step_ns;
        now->tv_sec = ns / 1000000000;
        now->tv_nsec = ns % 1000000000;
    }
    return result;
}
