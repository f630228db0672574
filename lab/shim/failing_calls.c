/* Makes system calls of one process fail while a test wants them to; preloaded, never shipped.
 *
 * FAULT_DIR names a folder. A fault is on while a file of its name is there, so a test turns it on and off in an order
 * of its own, without clocks. The file holds a number: the errno that the call fails with, or what the fault's line
 * below says. A second number, from 1 to 100, is the share of the calls that fail; without it all do.
 *
 *   journal_open  journal_read  journal_write  journal_truncate  journal_rename  journal_unlink    errno
 *   journal_half    errno; one write takes half of its bytes, the next one fails
 *   journal_short   a length; writes of fewer bytes fail with EIO: those of ends and outcomes, not those of sends
 *   journal_slow    milliseconds that each write takes longer
 *   lock_open  config_read                                                                          errno
 *   accept  bind  connect  socket  send  receive                                                   errno
 *   short_send      any number; a write to a socket takes half of the bytes, of one buffer
 *   short_receive   the most bytes that one read of a socket gives
 *   wall_step       seconds by which the wall clock is off
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/types.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define NEXT(name) ((typeof(&name))dlsym(RTLD_NEXT, #name))

/* The number in the fault's file, if the fault is on and meets this call; 0 otherwise. */
static int fault(const char *name) {
    char path[512], text[32];
    const char *folder = getenv("FAULT_DIR");
    if (!folder || snprintf(path, sizeof path, "%s/%s", folder, name) >= (int)sizeof path) return 0;
    int before = errno;
    int file = syscall(SYS_openat, AT_FDCWD, path, O_RDONLY | O_CLOEXEC);
    if (file < 0) { errno = before; return 0; }
    long length = syscall(SYS_read, file, text, sizeof text - 1);
    syscall(SYS_close, file);
    errno = before;
    text[length < 0 ? 0 : length] = 0;
    int number = 0, share = 100;
    if (sscanf(text, "%d %d", &number, &share) < 1) return 0;
    return rand() % 100 < share ? number : 0;
}

static int fails(const char *name) {
    int number = fault(name);
    if (number) errno = number;
    return number;
}

static int names(const char *path, const char *file) {
    const char *last = path ? strrchr(path, '/') : 0;
    return last && !strncmp(last + 1, file, strlen(file));
}

static int is_file(int descriptor, const char *file) {
    char link[64], path[512];
    snprintf(link, sizeof link, "/proc/self/fd/%d", descriptor);
    ssize_t length = readlink(link, path, sizeof path - 1);
    if (length < 0) return 0;
    path[length] = 0;
    return names(path, file);
}

static int is_journal(int descriptor) {
    return is_file(descriptor, "journal");
}

/* ---- the lasting folder ---- */

static int open_fails(const char *path) {
    return (names(path, "journal") && fails("journal_open")) || (names(path, "lock") && fails("lock_open"));
}

int open64(const char *path, int flags, ...) {
    va_list more;
    va_start(more, flags);
    mode_t mode = flags & O_CREAT ? va_arg(more, mode_t) : 0;
    va_end(more);
    return open_fails(path) ? -1 : NEXT(open64)(path, flags, mode);
}

int open(const char *path, int flags, ...) {
    va_list more;
    va_start(more, flags);
    mode_t mode = flags & O_CREAT ? va_arg(more, mode_t) : 0;
    va_end(more);
    return open_fails(path) ? -1 : NEXT(open)(path, flags, mode);
}

ssize_t read(int descriptor, void *bytes, size_t length) {
    if (is_journal(descriptor) && fails("journal_read")) return -1;
    if (is_file(descriptor, "config.json") && fails("config_read")) return -1;
    return NEXT(read)(descriptor, bytes, length);
}

ssize_t write(int descriptor, const void *bytes, size_t length) {
    static int half_done;
    if (is_journal(descriptor)) {
        int slow = fault("journal_slow");
        if (slow) usleep(slow * 1000);
        if (fails("journal_write")) return -1;
        if ((int)length < fault("journal_short")) { errno = EIO; return -1; }
        int half = fault("journal_half");
        if (half && !half_done && length > 1) {
            half_done = 1;
            return NEXT(write)(descriptor, bytes, length / 2);
        }
        half_done = 0;
        if (half) { errno = half; return -1; }
    }
    return NEXT(write)(descriptor, bytes, length);
}

int ftruncate64(int descriptor, off64_t length) {
    return is_journal(descriptor) && fails("journal_truncate") ? -1 : NEXT(ftruncate64)(descriptor, length);
}

int ftruncate(int descriptor, off_t length) {
    return is_journal(descriptor) && fails("journal_truncate") ? -1 : NEXT(ftruncate)(descriptor, length);
}

int rename(const char *from, const char *to) {
    return names(from, "journal") && fails("journal_rename") ? -1 : NEXT(rename)(from, to);
}

int unlink(const char *path) {
    return names(path, "journal") && fails("journal_unlink") ? -1 : NEXT(unlink)(path);
}

/* ---- sockets ---- */

int socket(int domain, int type, int protocol) {
    return domain == AF_INET && fails("socket") ? -1 : NEXT(socket)(domain, type, protocol);
}

int bind(int descriptor, const struct sockaddr *address, socklen_t length) {
    return address->sa_family == AF_INET && fails("bind") ? -1 : NEXT(bind)(descriptor, address, length);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length) {
    return address->sa_family == AF_INET && fails("connect") ? -1 : NEXT(connect)(descriptor, address, length);
}

int accept4(int descriptor, struct sockaddr *address, socklen_t *length, int flags) {
    return fails("accept") ? -1 : NEXT(accept4)(descriptor, address, length, flags);
}

ssize_t send(int descriptor, const void *bytes, size_t length, int flags) {
    if (fails("send")) return -1;
    if (length > 1 && fault("short_send")) length = (length + 1) / 2;
    return NEXT(send)(descriptor, bytes, length, flags);
}

ssize_t writev(int descriptor, const struct iovec *buffers, int count) {
    if (fails("send")) return -1;
    if (count > 1 && fault("short_send")) count = 1;
    return NEXT(writev)(descriptor, buffers, count);
}

ssize_t recv(int descriptor, void *bytes, size_t length, int flags) {
    if (flags & MSG_PEEK) return NEXT(recv)(descriptor, bytes, length, flags);
    if (fails("receive")) return -1;
    size_t most = fault("short_receive");
    if (most && length > most) length = most;
    return NEXT(recv)(descriptor, bytes, length, flags);
}

/* ---- clocks ---- */

int clock_gettime(clockid_t clock, struct timespec *time) {
    int result = NEXT(clock_gettime)(clock, time);
    if (clock == CLOCK_REALTIME) time->tv_sec += fault("wall_step");
    return result;
}
