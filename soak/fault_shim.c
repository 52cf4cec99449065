/* A library for LD_PRELOAD that makes a gateway's system calls fail, and steps its wall clock.
 *
 * Each call reads a control page shared with the soak, whose file SOAK_SHIM_CONTROL in the environment names: the
 * step of the wall clock in seconds, then the percentage of failing calls on TCP sockets, on Unix sockets and on
 * files. Calls fail with the errors that Linux documents for them. SOAK_SHIM_SEED seeds the random number generator.
 * The monotonic clock is not changed.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* The control page; CONTROL_LAYOUT in shim.py has the same layout. */
struct control { double wall_step_s, tcp_percent, unix_percent, file_percent; };
/* The control values until the page is mapped: no call fails. */
static struct control no_faults;
static volatile struct control *control = &no_faults;
static unsigned long long random_state = 0x9e3779b97f4a7c15ull;

#define DECLARE_REAL(name) \
  static __typeof__(&name) real; \
  if (!real) real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)
#define TRACKED_DESCRIPTORS 65536
#define LENGTH(list) (int)(sizeof(list) / sizeof(list[0]))
#define MIN(a, b) ((a) < (b) ? (a) : (b))

__attribute__((constructor)) static void map_control(void) {
  const char *path = getenv("SOAK_SHIM_CONTROL"), *seed = getenv("SOAK_SHIM_SEED");
  if (seed) random_state ^= strtoull(seed, 0, 10) * 0xda942042e4dd58b5ull + 1;
  int descriptor = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
  if (descriptor < 0) return;
  void *page = mmap(0, sizeof(struct control), PROT_READ, MAP_SHARED, descriptor, 0);
  if (page != MAP_FAILED) control = page;
  close(descriptor);
}

/* Draws a uniform number between 0 and 1 with xorshift64. */
static double uniform(void) {
  random_state ^= random_state << 13;
  random_state ^= random_state >> 7;
  random_state ^= random_state << 17;
  return (double)(random_state >> 11) / 9007199254740992.0;
}

/* Draws whether a fault happens; at 0 percent the random state stays unchanged. */
static int happens(double percent) { return percent > 0 && uniform() * 100.0 < percent; }

/* Sets errno to one of the errors at random; returns -1. */
static int fail_with_one_of(const int *errors, int count) {
  errno = errors[(int)(uniform() * count)];
  return -1;
}

/* Returns the address family of a socket, or -1 for any other descriptor. Preserves errno. */
static int socket_family(int descriptor) {
  int domain = 0;
  socklen_t size = sizeof domain;
  int saved_errno = errno;
  int result = getsockopt(descriptor, SOL_SOCKET, SO_DOMAIN, &domain, &size) ? -1 : domain;
  errno = saved_errno;
  return result;
}

/* Returns the percentage of failing calls on a descriptor, which is 0 unless it is a TCP or Unix socket. */
static double failing_percent(int descriptor) {
  if (control->tcp_percent <= 0 && control->unix_percent <= 0) return 0;
  int domain = socket_family(descriptor);
  return domain == AF_INET ? control->tcp_percent : domain == AF_UNIX ? control->unix_percent : 0;
}

static const int ACCEPT_ERRORS[] = {ECONNABORTED, ENFILE, ENOBUFS, EPROTO, ENOMEM, EMFILE, EINTR};
static const int SOCKET_ERRORS[] = {ENFILE, ENOBUFS, ENOMEM, EMFILE};
static const int CONNECT_ERRORS[] = {EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT, ENOBUFS, EAGAIN};
static const int BROKEN_ERRORS[] = {ETIMEDOUT, EHOSTUNREACH, ECONNRESET, EPIPE};
static const int FILE_ERRORS[] = {EIO, ENFILE, EINTR, ENOMEM};
static const int WRITE_FILE_ERRORS[] = {ENOSPC, EIO, EDQUOT};
/* Frequencies of failed accepts, broken connections, interrupted calls and shortened transfers, as multiples of
 * the percentage of their category. */
static const double ACCEPT_FACTOR = 3, BREAK_FACTOR = 0.03, INTERRUPT_FACTOR = 0.5, SHORT_FACTOR = 3;
static const size_t MAX_SHORT_BYTES = 40;

/* Only connections opened by the gateway are broken, because the soak's clients decide when theirs end. */
static unsigned char is_outgoing[TRACKED_DESCRIPTORS];
static int is_tracked(int descriptor) { return descriptor >= 0 && descriptor < TRACKED_DESCRIPTORS; }

/* Draws whether a connection breaks; if so, shuts it down and sets errno. */
static int breaks_connection(int descriptor, double percent) {
  if (!is_tracked(descriptor) || !is_outgoing[descriptor] || !happens(percent * BREAK_FACTOR)) return 0;
  shutdown(descriptor, SHUT_RDWR);
  fail_with_one_of(BROKEN_ERRORS, LENGTH(BROKEN_ERRORS));
  return 1;
}

/* Draws whether a read or write fails; if so, sets errno. */
static int fails(int descriptor, double percent) {
  if (percent <= 0) return 0;
  if (happens(percent * INTERRUPT_FACTOR)) {
    errno = EINTR;
    return 1;
  }
  return breaks_connection(descriptor, percent);
}

/* Draws the size of a read or write, which may be shortened. */
static size_t shortened_size(size_t size, double percent) {
  if (size < 2 || !happens(percent * SHORT_FACTOR)) return size;
  return 1 + (size_t)(uniform() * (double)MIN(size - 1, MAX_SHORT_BYTES));
}

/* Clocks */

int clock_gettime(clockid_t clock, struct timespec *now) {
  DECLARE_REAL(clock_gettime);
  int result = real(clock, now);
  if (!result && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE))
    now->tv_sec += (long)control->wall_step_s;
  return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone) {
  (void)zone;
  struct timespec precise;
  clock_gettime(CLOCK_REALTIME, &precise);
  now->tv_sec = precise.tv_sec;
  now->tv_usec = precise.tv_nsec / 1000;
  return 0;
}

time_t time(time_t *result) {
  struct timespec now;
  clock_gettime(CLOCK_REALTIME, &now);
  if (result) *result = now.tv_sec;
  return now.tv_sec;
}

/* Sockets */

int accept4(int listener, struct sockaddr *restrict address, socklen_t *restrict size, int flags) {
  DECLARE_REAL(accept4);
  if (happens(failing_percent(listener) * ACCEPT_FACTOR))
    return fail_with_one_of(ACCEPT_ERRORS, LENGTH(ACCEPT_ERRORS));
  int descriptor = real(listener, address, size, flags);
  if (is_tracked(descriptor)) is_outgoing[descriptor] = 0;
  return descriptor;
}

int accept(int listener, struct sockaddr *restrict address, socklen_t *restrict size) {
  return accept4(listener, address, size, 0);
}

int socket(int domain, int type, int protocol) {
  DECLARE_REAL(socket);
  double percent = domain == AF_INET ? control->tcp_percent : domain == AF_UNIX ? control->unix_percent : 0;
  if (happens(percent)) return fail_with_one_of(SOCKET_ERRORS, LENGTH(SOCKET_ERRORS));
  int descriptor = real(domain, type, protocol);
  if (is_tracked(descriptor)) is_outgoing[descriptor] = 0;
  return descriptor;
}

int connect(int descriptor, const struct sockaddr *address, socklen_t size) {
  DECLARE_REAL(connect);
  if (address && address->sa_family == AF_INET) {
    if (happens(control->tcp_percent)) return fail_with_one_of(CONNECT_ERRORS, LENGTH(CONNECT_ERRORS));
    if (is_tracked(descriptor)) is_outgoing[descriptor] = 1;
  }
  return real(descriptor, address, size);
}

ssize_t read(int descriptor, void *buffer, size_t size) {
  DECLARE_REAL(read);
  double percent = failing_percent(descriptor);
  return fails(descriptor, percent) ? -1 : real(descriptor, buffer, shortened_size(size, percent));
}

ssize_t recv(int descriptor, void *buffer, size_t size, int flags) {
  DECLARE_REAL(recv);
  double percent = flags & MSG_PEEK ? 0 : failing_percent(descriptor);
  return fails(descriptor, percent) ? -1 : real(descriptor, buffer, shortened_size(size, percent), flags);
}

ssize_t write(int descriptor, const void *buffer, size_t size) {
  DECLARE_REAL(write);
  double percent = failing_percent(descriptor);
  return fails(descriptor, percent) ? -1 : real(descriptor, buffer, shortened_size(size, percent));
}

ssize_t send(int descriptor, const void *buffer, size_t size, int flags) {
  DECLARE_REAL(send);
  double percent = failing_percent(descriptor);
  if (socket_family(descriptor) == AF_UNIX) percent = 0; /* Packets on Unix sockets are always sent whole. */
  return fails(descriptor, percent) ? -1 : real(descriptor, buffer, shortened_size(size, percent), flags);
}

ssize_t writev(int descriptor, const struct iovec *pieces, int count) {
  DECLARE_REAL(writev);
  double percent = failing_percent(descriptor);
  if (fails(descriptor, percent)) return -1;
  if (count < 1 || !happens(percent * SHORT_FACTOR)) return real(descriptor, pieces, count);
  struct iovec first = {pieces[0].iov_base, shortened_size(pieces[0].iov_len, 100)};
  return real(descriptor, &first, 1);
}

ssize_t sendmsg(int descriptor, const struct msghdr *message, int flags) {
  DECLARE_REAL(sendmsg);
  static const int UNIX_ERRORS[] = {ENOBUFS, ENOMEM, EINTR, EAGAIN};
  if (socket_family(descriptor) == AF_UNIX && happens(control->unix_percent))
    return fail_with_one_of(UNIX_ERRORS, LENGTH(UNIX_ERRORS));
  return real(descriptor, message, flags);
}

/* Files and paths */

int open64(const char *path, int flags, ...) {
  DECLARE_REAL(open64);
  va_list arguments;
  va_start(arguments, flags);
  mode_t mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(arguments, mode_t) : 0;
  va_end(arguments);
  int is_config = strstr(path, "soak-") != 0; /* deployment.py names configuration files so. */
  if (is_config && happens(control->file_percent)) return fail_with_one_of(FILE_ERRORS, LENGTH(FILE_ERRORS));
  return real(path, flags, mode);
}

int bind(int descriptor, const struct sockaddr *address, socklen_t size) {
  DECLARE_REAL(bind);
  if (address && address->sa_family == AF_UNIX && happens(control->file_percent))
    return fail_with_one_of(WRITE_FILE_ERRORS, LENGTH(WRITE_FILE_ERRORS));
  return real(descriptor, address, size);
}

int rename(const char *from, const char *to) {
  DECLARE_REAL(rename);
  if (happens(control->file_percent)) return fail_with_one_of(WRITE_FILE_ERRORS, LENGTH(WRITE_FILE_ERRORS));
  return real(from, to);
}

int fcntl64(int descriptor, int command, ...) {
  DECLARE_REAL(fcntl64);
  va_list arguments;
  va_start(arguments, command);
  long argument = va_arg(arguments, long);
  va_end(arguments);
  if (command == F_DUPFD_CLOEXEC && happens(control->unix_percent)) {
    errno = EMFILE;
    return -1;
  }
  return real(descriptor, command, argument);
}
