/* Loaded into a gateway by LD_PRELOAD: makes its system calls fail as Linux documents, and steps its wall clock.
 *
 * What it does is read at each call from a page that the soak has mapped too (SOAK_SHIM_CONTROL names the file):
 * the wall clock's step in seconds, then the chance in percent of a fault of TCP sockets, of Unix sockets, of files.
 * The monotonic clock is left alone. A descriptor is faulted only where it is of the kind that is asked for.
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

struct control { double wall_step_s, tcp_percent, unix_percent, file_percent; };
static struct control none;
static volatile struct control *control = &none;
static unsigned long long random_state = 0x9e3779b97f4a7c15ull;

#define REAL(name) \
  static __typeof__(&name) real; \
  if (!real) real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)
#define COUNT(list) (int)(sizeof(list) / sizeof(list[0]))
#define LOWER(a, b) ((a) < (b) ? (a) : (b))

__attribute__((constructor)) static void map_control(void) {
  const char *path = getenv("SOAK_SHIM_CONTROL"), *seed = getenv("SOAK_SHIM_SEED");
  if (seed) random_state ^= strtoull(seed, 0, 10) * 0xda942042e4dd58b5ull + 1;
  int descriptor = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
  if (descriptor < 0) return;
  void *page = mmap(0, sizeof(struct control), PROT_READ, MAP_SHARED, descriptor, 0);
  if (page != MAP_FAILED) control = page;
  close(descriptor);
}

static double uniform(void) {
  random_state ^= random_state << 13;
  random_state ^= random_state >> 7;
  random_state ^= random_state << 17;
  return (double)(random_state >> 11) / 9007199254740992.0;
}

static int chance(double percent) { return percent > 0 && uniform() * 100.0 < percent; }

static int fail(const int *errors, int count) {
  errno = errors[(int)(uniform() * count)];
  return -1;
}

/* The family of a stream or packet socket; -1 of anything else. */
static int family(int descriptor) {
  int domain = 0;
  socklen_t size = sizeof domain;
  int before = errno;
  int result = getsockopt(descriptor, SOL_SOCKET, SO_DOMAIN, &domain, &size) ? -1 : domain;
  errno = before;
  return result;
}

static double percent_of(int descriptor) {
  if (control->tcp_percent <= 0 && control->unix_percent <= 0) return 0;
  int domain = family(descriptor);
  return domain == AF_INET ? control->tcp_percent : domain == AF_UNIX ? control->unix_percent : 0;
}

static const int ACCEPT_ERRORS[] = {ECONNABORTED, ENFILE, ENOBUFS, EPROTO, ENOMEM, EMFILE, EINTR};
static const int SOCKET_ERRORS[] = {ENFILE, ENOBUFS, ENOMEM, EMFILE};
static const int CONNECT_ERRORS[] = {EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT, ENOBUFS, EAGAIN};
static const int BROKEN_ERRORS[] = {ETIMEDOUT, EHOSTUNREACH, ECONNRESET, EPIPE};
static const int FILE_ERRORS[] = {EIO, ENFILE, EINTR, ENOMEM};
static const int WRITE_FILE_ERRORS[] = {ENOSPC, EIO, EDQUOT};
static const double ACCEPT_SCALE = 3, BREAK_SCALE = 0.03, INTERRUPT_SCALE = 0.5, SHORT_SCALE = 3;
static const size_t SHORTEST_PIECES = 40;

/* Only connections that the gateway has opened itself break: a client's end is the client's to decide. */
static unsigned char is_outgoing[65536];
static int is_known(int descriptor) { return descriptor >= 0 && descriptor < 65536; }

static int is_broken(int descriptor, double percent) {
  if (!is_known(descriptor) || !is_outgoing[descriptor] || !chance(percent * BREAK_SCALE)) return 0;
  shutdown(descriptor, SHUT_RDWR);
  fail(BROKEN_ERRORS, COUNT(BROKEN_ERRORS));
  return 1;
}

static int is_failed(int descriptor, double percent) {
  if (percent <= 0) return 0;
  if (chance(percent * INTERRUPT_SCALE)) {
    errno = EINTR;
    return 1;
  }
  return is_broken(descriptor, percent);
}

static size_t shortened(size_t size, double percent) {
  if (size < 2 || !chance(percent * SHORT_SCALE)) return size;
  return 1 + (size_t)(uniform() * (double)LOWER(size - 1, SHORTEST_PIECES));
}

/* Clocks */

int clock_gettime(clockid_t clock, struct timespec *now) {
  REAL(clock_gettime);
  int result = real(clock, now);
  if (!result && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) now->tv_sec += (long)control->wall_step_s;
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
  REAL(accept4);
  if (chance(percent_of(listener) * ACCEPT_SCALE)) return fail(ACCEPT_ERRORS, COUNT(ACCEPT_ERRORS));
  int descriptor = real(listener, address, size, flags);
  if (is_known(descriptor)) is_outgoing[descriptor] = 0;
  return descriptor;
}

int accept(int listener, struct sockaddr *restrict address, socklen_t *restrict size) {
  return accept4(listener, address, size, 0);
}

int socket(int domain, int type, int protocol) {
  REAL(socket);
  double percent = domain == AF_INET ? control->tcp_percent : domain == AF_UNIX ? control->unix_percent : 0;
  if (chance(percent)) return fail(SOCKET_ERRORS, COUNT(SOCKET_ERRORS));
  int descriptor = real(domain, type, protocol);
  if (is_known(descriptor)) is_outgoing[descriptor] = 0;
  return descriptor;
}

int connect(int descriptor, const struct sockaddr *address, socklen_t size) {
  REAL(connect);
  if (address && address->sa_family == AF_INET) {
    if (chance(control->tcp_percent)) return fail(CONNECT_ERRORS, COUNT(CONNECT_ERRORS));
    if (is_known(descriptor)) is_outgoing[descriptor] = 1;
  }
  return real(descriptor, address, size);
}

ssize_t read(int descriptor, void *buffer, size_t size) {
  REAL(read);
  double percent = percent_of(descriptor);
  return is_failed(descriptor, percent) ? -1 : real(descriptor, buffer, shortened(size, percent));
}

ssize_t recv(int descriptor, void *buffer, size_t size, int flags) {
  REAL(recv);
  double percent = flags & MSG_PEEK ? 0 : percent_of(descriptor);
  return is_failed(descriptor, percent) ? -1 : real(descriptor, buffer, shortened(size, percent), flags);
}

ssize_t write(int descriptor, const void *buffer, size_t size) {
  REAL(write);
  double percent = percent_of(descriptor);
  return is_failed(descriptor, percent) ? -1 : real(descriptor, buffer, shortened(size, percent));
}

ssize_t send(int descriptor, const void *buffer, size_t size, int flags) {
  REAL(send);
  double percent = percent_of(descriptor);
  if (family(descriptor) == AF_UNIX) percent = 0; /* packets are whole */
  return is_failed(descriptor, percent) ? -1 : real(descriptor, buffer, shortened(size, percent), flags);
}

ssize_t writev(int descriptor, const struct iovec *pieces, int count) {
  REAL(writev);
  double percent = percent_of(descriptor);
  if (is_failed(descriptor, percent)) return -1;
  if (count < 1 || !chance(percent * SHORT_SCALE)) return real(descriptor, pieces, count);
  struct iovec first = {pieces[0].iov_base, shortened(pieces[0].iov_len, 100)};
  return real(descriptor, &first, 1);
}

ssize_t sendmsg(int descriptor, const struct msghdr *message, int flags) {
  REAL(sendmsg);
  static const int UNIX_ERRORS[] = {ENOBUFS, ENOMEM, EINTR, EAGAIN};
  if (family(descriptor) == AF_UNIX && chance(control->unix_percent)) return fail(UNIX_ERRORS, COUNT(UNIX_ERRORS));
  return real(descriptor, message, flags);
}

/* Files: what is opened to be read or written, and what a folder is asked to take */

int open64(const char *path, int flags, ...) {
  REAL(open64);
  va_list arguments;
  va_start(arguments, flags);
  mode_t mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(arguments, mode_t) : 0;
  va_end(arguments);
  int is_config = strstr(path, "soak-") != 0;
  if (is_config && chance(control->file_percent)) return fail(FILE_ERRORS, COUNT(FILE_ERRORS));
  return real(path, flags, mode);
}

int bind(int descriptor, const struct sockaddr *address, socklen_t size) {
  REAL(bind);
  if (address && address->sa_family == AF_UNIX && chance(control->file_percent))
    return fail(WRITE_FILE_ERRORS, COUNT(WRITE_FILE_ERRORS));
  return real(descriptor, address, size);
}

int rename(const char *from, const char *to) {
  REAL(rename);
  if (chance(control->file_percent)) return fail(WRITE_FILE_ERRORS, COUNT(WRITE_FILE_ERRORS));
  return real(from, to);
}

int fcntl64(int descriptor, int command, ...) {
  REAL(fcntl64);
  va_list arguments;
  va_start(arguments, command);
  long argument = va_arg(arguments, long);
  va_end(arguments);
  if (command == F_DUPFD_CLOEXEC && chance(control->unix_percent)) {
    errno = EMFILE;
    return -1;
  }
  return real(descriptor, command, argument);
}
