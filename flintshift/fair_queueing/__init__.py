"""Fair queues at the door: which club and caller is how far past its share. The heart is ``fair_queue.py``, without I/O."""
