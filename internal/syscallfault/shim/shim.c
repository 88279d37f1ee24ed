// A library for LD_PRELOAD that makes system calls of one process fail, for tests. It installs a seccomp filter on the
// process it is loaded into and answers the filter's notifications from a thread of that same process, which the filter
// does not cover. Which calls fail is read from a file that the test has mapped too, so faults begin and end while the
// process runs, and hits are counted there.
#define _GNU_SOURCE
#include <errno.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <linux/seccomp.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/uio.h>
#include <unistd.h>

enum { MOST_RULES = 128 };

enum target { ANY, STANDARD_ERROR, LISTENER, STREAM, DATAGRAM, NO_SOCKET };

enum { SHORT_TRANSFER = -1 }; // in place of an error number: half of the bytes are transferred

struct rule {
	_Atomic uint32_t call;      // number of the system call
	_Atomic uint32_t target;    // what its descriptor has to be
	_Atomic int32_t error;      // errno, or SHORT_TRANSFER
	_Atomic uint32_t per_mille; // of the calls that match
	_Atomic int32_t remaining;  // how many more calls fail; 0: the rule is off; below 0: no bound
	_Atomic uint32_t hits;
	_Atomic uint32_t operation; // of epoll_ctl; 0: any
	_Atomic uint32_t port;      // of the socket, on either end; 0: any
	_Atomic uint32_t pass;      // so many matching calls more do not fail
	_Atomic uint32_t unused;
};

struct table {
	_Atomic uint64_t chance; // state of the random numbers, first the seed
	_Atomic uint64_t seen;   // notifications
	_Atomic uint64_t failed; // calls that rules have failed
	struct rule rules[MOST_RULES];
};

static struct table *table;
static int notifications = -1;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t installed = PTHREAD_COND_INITIALIZER;

static const int calls[] = {
	__NR_read, __NR_write, __NR_writev, __NR_accept4, __NR_epoll_ctl, __NR_epoll_pwait, __NR_sendto, __NR_recvfrom,
	__NR_connect, __NR_socket, __NR_setsockopt, __NR_getsockopt, __NR_openat, __NR_shutdown, __NR_bind, __NR_listen,
	__NR_eventfd2, __NR_epoll_create1, __NR_getsockname, __NR_fcntl, __NR_close,
#ifdef __NR_epoll_wait
	__NR_epoll_wait,
#endif
};
enum { CALLS = sizeof calls / sizeof calls[0] };

static uint32_t chance(void) {
	uint64_t x = atomic_load(&table->chance);
	x ^= x << 13, x ^= x >> 7, x ^= x << 17;
	atomic_store(&table->chance, x);
	return (uint32_t)(x >> 20) % 1000;
}

static int socket_option(int fd, int name) {
	int value = -1;
	socklen_t size = sizeof value;
	return getsockopt(fd, SOL_SOCKET, name, &value, &size) == 0 ? value : -1;
}

static enum target target_of(int fd) {
	if (fd == STDERR_FILENO) return STANDARD_ERROR;
	switch (socket_option(fd, SO_TYPE)) {
	case SOCK_STREAM: return socket_option(fd, SO_ACCEPTCONN) == 1 ? LISTENER : STREAM;
	case SOCK_DGRAM: return DATAGRAM;
	}
	return NO_SOCKET;
}

static int has_port(int fd, uint32_t port) {
	struct sockaddr_in address;
	socklen_t size = sizeof address;
	if (getsockname(fd, (struct sockaddr *)&address, &size) == 0 && ntohs(address.sin_port) == port) return 1;
	size = sizeof address;
	return getpeername(fd, (struct sockaddr *)&address, &size) == 0 && ntohs(address.sin_port) == port;
}

static int matches(struct rule *rule, const struct seccomp_data *data) {
	uint32_t call = data->nr;
	if (atomic_load(&rule->remaining) == 0 || atomic_load(&rule->call) != call) return 0;
	int fd = call == __NR_epoll_ctl ? (int)data->args[2] : (int)data->args[0];
	uint32_t operation = atomic_load(&rule->operation), port = atomic_load(&rule->port);
	if (call == __NR_epoll_ctl && operation != 0 && (uint32_t)data->args[1] != operation) return 0;
	if (call == __NR_fcntl && (int)data->args[1] != F_DUPFD_CLOEXEC && (int)data->args[1] != F_DUPFD) return 0;
	uint32_t target = atomic_load(&rule->target);
	if (target != ANY && target_of(fd) != target) return 0;
	if (port != 0 && !has_port(fd, port)) return 0;
	uint32_t pass = atomic_load(&rule->pass);
	if (pass > 0) {
		atomic_store(&rule->pass, pass - 1);
		return 0;
	}
	return chance() < atomic_load(&rule->per_mille);
}

// transfer_half does half of what a read or write asks for.
static ssize_t transfer_half(const struct seccomp_data *data) {
	int fd = (int)data->args[0];
	void *bytes = (void *)data->args[1];
	size_t half = (data->args[2] + 1) / 2;
	switch (data->nr) {
	case __NR_read: return read(fd, bytes, half);
	case __NR_write: return write(fd, bytes, half);
	case __NR_writev: {
		const struct iovec *first = bytes;
		return write(fd, first->iov_base, (first->iov_len + 1) / 2);
	}
	}
	errno = EINVAL;
	return -1;
}

static void answer(const struct seccomp_notif *request, struct seccomp_notif_resp *response) {
	response->id = request->id;
	response->flags = SECCOMP_USER_NOTIF_FLAG_CONTINUE;
	atomic_fetch_add(&table->seen, 1);
	for (int i = 0; i < MOST_RULES; i++) {
		struct rule *rule = &table->rules[i];
		if (!matches(rule, &request->data)) continue;
		int32_t remaining = atomic_load(&rule->remaining), error = atomic_load(&rule->error);
		if (remaining > 0 && !atomic_compare_exchange_strong(&rule->remaining, &remaining, remaining - 1)) continue;
		response->flags = 0;
		if (error == SHORT_TRANSFER) {
			ssize_t n = transfer_half(&request->data);
			if (n >= 0)
				response->val = n;
			else
				response->error = -errno;
		} else {
			if (request->data.nr == __NR_close) close((int)request->data.args[0]); // Linux has closed it then all the same
			response->error = -error;
		}
		atomic_fetch_add(&rule->hits, 1);
		atomic_fetch_add(&table->failed, 1);
		return;
	}
}

static void *serve(void *unused) {
	pthread_mutex_lock(&lock);
	while (notifications < 0) pthread_cond_wait(&installed, &lock);
	pthread_mutex_unlock(&lock);
	for (;;) {
		struct seccomp_notif request;
		struct seccomp_notif_resp response;
		memset(&request, 0, sizeof request);
		memset(&response, 0, sizeof response);
		if (ioctl(notifications, SECCOMP_IOCTL_NOTIF_RECV, &request) != 0) continue;
		answer(&request, &response);
		ioctl(notifications, SECCOMP_IOCTL_NOTIF_SEND, &response);
	}
	return unused;
}

static int install(void) {
	struct sock_filter filter[CALLS + 3];
	int n = 0;
	filter[n++] = (struct sock_filter)BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(struct seccomp_data, nr));
	for (int i = 0; i < CALLS; i++)
		filter[n++] = (struct sock_filter)BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, calls[i], CALLS - i, 0);
	filter[n++] = (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW);
	filter[n++] = (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_USER_NOTIF);
	struct sock_fprog program = {.len = n, .filter = filter};
	if (prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) != 0) return -1;
	return syscall(__NR_seccomp, SECCOMP_SET_MODE_FILTER,
		SECCOMP_FILTER_FLAG_NEW_LISTENER | SECCOMP_FILTER_FLAG_WAIT_KILLABLE_RECV, &program);
}

static void fail(const char *what) {
	fprintf(stderr, "system call faults: %s: %s\n", what, strerror(errno));
	_exit(127);
}

// It acts in the program that the environment names alone: a filter outlives exec, the thread that answers does not.
__attribute__((constructor)) static void begin(void) {
	const char *program = getenv("SYSCALLFAULT_PROGRAM"), *path = getenv("SYSCALLFAULT_TABLE");
	char self[4096];
	ssize_t n = readlink("/proc/self/exe", self, sizeof self - 1);
	if (program == NULL || path == NULL || n < 0) return;
	self[n] = 0;
	if (strcmp(self, program) != 0) return;
	unsetenv("LD_PRELOAD");
	int fd = open(path, O_RDWR | O_CLOEXEC);
	if (fd < 0) fail("open the table");
	table = mmap(NULL, sizeof *table, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
	if (table == MAP_FAILED) fail("map the table");
	close(fd);
	sigset_t all, before;
	sigfillset(&all);
	pthread_sigmask(SIG_SETMASK, &all, &before); // signals are for the program's own threads
	pthread_t thread;
	if (pthread_create(&thread, NULL, serve, NULL) != 0) fail("start the thread");
	pthread_sigmask(SIG_SETMASK, &before, NULL);
	int listener = install();
	if (listener < 0) fail("install the filter");
	pthread_mutex_lock(&lock);
	notifications = listener;
	pthread_cond_signal(&installed);
	pthread_mutex_unlock(&lock);
}
