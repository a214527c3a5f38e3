/* Preloaded into a node under test: steps its wall clock, and lets some of its system calls fail or do less than asked, in
 * ways that Linux documents. The rig writes `struct control` to the file that RIG_FAULTS names; nothing else is touched. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <time.h>

struct control {
    int64_t step_ns;
    /* Calls of a kind that fail, of a million. */
    uint32_t socket_ppm, connect_ppm, accept_ppm, short_ppm, wait_ppm;
    uint32_t seed;
};

static volatile struct control none;
static volatile struct control *control = &none;
static uint64_t state = 88172645463325252ull;

__attribute__((constructor)) static void load(void) {
    const char *path = getenv("RIG_FAULTS");
    int fd = path ? open(path, O_RDONLY) : -1;
    if (fd < 0) return;
    void *map = mmap(NULL, sizeof(struct control), PROT_READ, MAP_SHARED, fd, 0);
    if (map != MAP_FAILED) control = map;
    state ^= (uint64_t)control->seed * 0x9E3779B97F4A7C15ull;
}

static uint32_t draw(uint32_t bound) {
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return (uint32_t)(state >> 32) % bound;
}

static int fails(uint32_t ppm, const int *errors, uint32_t count) {
    if (ppm == 0 || draw(1000000) >= ppm) return 0;
    errno = errors[draw(count)];
    return 1;
}

static size_t shortened(size_t length) {
    if (length < 2 || control->short_ppm == 0 || draw(1000000) >= control->short_ppm) return length;
    return 1 + draw((uint32_t)(length > 1 << 20 ? 1 << 20 : length) - 1);
}

#define NEXT(name) \
    static __typeof__(name) *next; \
    if (!next) next = (__typeof__(name) *)dlsym(RTLD_NEXT, #name)

int socket(int domain, int type, int protocol) {
    static const int errors[] = {ENFILE, EMFILE, ENOBUFS};
    NEXT(socket);
    return fails(control->socket_ppm, errors, 3) ? -1 : next(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS};
    NEXT(connect);
    return fails(control->connect_ppm, errors, 3) ? -1 : next(fd, address, length);
}

int accept4(int fd, struct sockaddr *restrict address, socklen_t *restrict length, int flags) {
    static const int errors[] = {ECONNABORTED, ENFILE, ENOBUFS};
    NEXT(accept4);
    return fails(control->accept_ppm, errors, 3) ? -1 : next(fd, address, length, flags);
}

int epoll_wait(int fd, struct epoll_event *events, int count, int timeout_ms) {
    static const int errors[] = {EINTR};
    NEXT(epoll_wait);
    return fails(control->wait_ppm, errors, 1) ? -1 : next(fd, events, count, timeout_ms);
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    NEXT(recv);
    return next(fd, buffer, flags & MSG_PEEK ? length : shortened(length), flags);
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    NEXT(send);
    return next(fd, buffer, shortened(length), flags);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    NEXT(writev);
    if (count > 0 && parts[0].iov_len > 1 && shortened(parts[0].iov_len) < parts[0].iov_len) {
        struct iovec first = {parts[0].iov_base, parts[0].iov_len / 2};
        return next(fd, &first, 1);
    }
    return next(fd, parts, count);
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    NEXT(clock_gettime);
    int result = next(clock, time);
    if (result == 0 && clock == CLOCK_REALTIME && control->step_ns != 0) {
        int64_t ns = time->tv_nsec + control->step_ns % 1000000000;
        time->tv_sec += control->step_ns / 1000000000 + (ns < 0 ? -1 : ns / 1000000000);
        time->tv_nsec = ns < 0 ? ns + 1000000000 : ns % 1000000000;
    }
    return result;
}
