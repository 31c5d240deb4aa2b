package hosted

import "syscall"

// unacknowledgedMillis is how long (ms) sent bytes may stay without acknowledgement
// before a connection counts as broken. A VM that is without power or partitioned answers
// nothing, and without this bound the kernel would continue to send for minutes.
const unacknowledgedMillis = 2000

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux; package syscall has
// no name for it.
const tcpUserTimeout = 18

// setUserTimeout sets TCP_USER_TIMEOUT to unacknowledgedMillis on a new socket.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, unacknowledgedMillis)
	})
	if err != nil {
		return err
	}
	return failed
}
