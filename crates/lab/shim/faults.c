/* Makes system calls of a sender under test fail, and steps its wall clock.
 *
 * The laboratory builds this file as a shared library that senders load with LD_PRELOAD. The faults are read from a
 * control block: the file named by MARTENLATCH_SHIM, which the laboratory writes and the sender maps, so that faults
 * can change while the sender runs. Random numbers come from the seed in the control block. Only IPv4 sockets and
 * files below a folder named "state" are affected.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/types.h>
#include <time.h>
#include <unistd.h>

/* The laboratory writes this layout: see soak/shim.rs. */
struct control {
    int64_t wall_offset_ns;
    uint64_t seed;
    uint32_t calls_failing_per_myriad;
    uint32_t disk_fault; /* one of the DISK_ constants */
};

enum { DISK_OK = 0, DISK_FULL = 1, DISK_BROKEN = 2, DISK_STOPS_HALFWAY = 3, DISK_UNREADABLE = 4 };

#define MAX_FILES 4096
static volatile struct control *control;
static unsigned char is_state_file[MAX_FILES];
static uint64_t random_state;

__attribute__((constructor)) static void open_control(void) {
    const char *path = getenv("MARTENLATCH_SHIM");
    int fd = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (fd < 0) return;
    void *block = mmap(NULL, sizeof(struct control), PROT_READ, MAP_SHARED, fd, 0);
    close(fd);
    if (block == MAP_FAILED) return;
    control = block;
    random_state = control->seed * 2654435761u + (uint64_t)getpid();
}

static uint32_t draw(uint32_t limit) {
    random_state = random_state * 6364136223846793005ull + 1442695040888963407ull;
    return (uint32_t)(random_state >> 33) % limit;
}

/* Draws whether the current socket call fails. */
static int call_fails(void) {
    return control && control->calls_failing_per_myriad && draw(10000) < control->calls_failing_per_myriad;
}

static int fail_with(int error) {
    errno = error;
    return -1;
}

#define ONE_OF(errors) ((errors)[draw(sizeof(errors) / sizeof(*(errors)))])
#define NEXT(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

int clock_gettime(clockid_t id, struct timespec *now) {
    static __typeof__(&clock_gettime) next;
    if (!next) next = NEXT(clock_gettime);
    int result = next(id, now);
    if (result == 0 && control && (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE)) {
        int64_t time = now->tv_sec * 1000000000ll + now->tv_nsec + control->wall_offset_ns;
        now->tv_sec = time / 1000000000ll;
        now->tv_nsec = time % 1000000000ll;
    }
    return result;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    static const int errors[] = {ECONNABORTED, EINTR, ENFILE, ENOBUFS, ENOMEM, EPROTO, EHOSTUNREACH, ENETDOWN};
    if (call_fails()) return fail_with(ONE_OF(errors));
    return NEXT(accept4)(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    static const int errors[] = {ENFILE, EMFILE, ENOBUFS, ENOMEM};
    if (domain == AF_INET && call_fails()) return fail_with(ONE_OF(errors));
    return NEXT(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EAGAIN};
    if (address->sa_family == AF_INET && call_fails()) {
        if (draw(4) == 0) {
            /* The kernel completes an interrupted connect in the background. */
            NEXT(connect)(fd, address, length);
            return fail_with(EINTR);
        }
        return fail_with(ONE_OF(errors));
    }
    return NEXT(connect)(fd, address, length);
}

/* Simulates a connection that the network has dropped: this call and all later ones on it fail. */
static int break_connection(int fd) {
    static const int errors[] = {ETIMEDOUT, EHOSTUNREACH, ECONNRESET};
    shutdown(fd, SHUT_RDWR);
    return fail_with(ONE_OF(errors));
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    if (call_fails()) {
        switch (draw(8)) {
        case 0: return break_connection(fd);
        case 1: case 2: case 3: return fail_with(EINTR);
        default: length = length > 1 ? 1 + draw((uint32_t)length < 64 ? (uint32_t)length : 64) : length;
        }
    }
    return NEXT(recv)(fd, buffer, length, flags);
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    if (call_fails()) {
        switch (draw(8)) {
        case 0: return break_connection(fd);
        case 1: case 2: case 3: return fail_with(EINTR);
        default: length = length > 1 ? 1 + draw((uint32_t)length - 1) : length;
        }
    }
    return NEXT(send)(fd, buffer, length, flags);
}

static int disk_fault(int fd) {
    return control && fd >= 0 && fd < MAX_FILES && is_state_file[fd] ? (int)control->disk_fault : DISK_OK;
}

ssize_t write(int fd, const void *buffer, size_t length) {
    static int stopped_halfway;
    switch (disk_fault(fd)) {
    case DISK_FULL: return fail_with(ENOSPC);
    case DISK_BROKEN: return fail_with(EIO);
    case DISK_STOPS_HALFWAY:
        stopped_halfway = !stopped_halfway;
        if (!stopped_halfway) return fail_with(ENOSPC);
        if (length > 1) length /= 2;
    }
    return NEXT(write)(fd, buffer, length);
}

int ftruncate64(int fd, off64_t length) {
    if (disk_fault(fd) == DISK_BROKEN) return fail_with(EIO);
    return NEXT(ftruncate64)(fd, length);
}

int fsync(int fd) {
    if (disk_fault(fd) != DISK_OK) return fail_with(EIO);
    return NEXT(fsync)(fd);
}

int rename(const char *from, const char *to) {
    if (control && control->disk_fault == DISK_BROKEN && strstr(to, "/state/")) return fail_with(EIO);
    return NEXT(rename)(from, to);
}

int open64(const char *path, int flags, ...) {
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(arguments, mode_t) : 0;
    va_end(arguments);
    int in_state_folder = strstr(path, "/state/") != NULL;
    if (in_state_folder && control && control->disk_fault == DISK_BROKEN && (flags & O_CREAT)) return fail_with(EIO);
    int opens_log_for_reading = in_state_folder && strstr(path, "/ledger") != NULL && (flags & O_ACCMODE) == O_RDONLY;
    if (opens_log_for_reading && control && control->disk_fault == DISK_UNREADABLE) return fail_with(EIO);
    int fd = NEXT(open64)(path, flags, mode);
    if (fd >= 0 && fd < MAX_FILES) is_state_file[fd] = (unsigned char)in_state_folder;
    return fd;
}

int close(int fd) {
    if (fd >= 0 && fd < MAX_FILES) is_state_file[fd] = 0;
    return NEXT(close)(fd);
}
