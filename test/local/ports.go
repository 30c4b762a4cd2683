package local

import (
	"fmt"
	"syscall"

	"github.com/pkg/errors"
)

// reservePort returns a loopback address with a free port that no other process is assigned
// before the system stops. A socket stays bound to the port without listening: the kernel then
// does not assign the port again, and a process of the system can still listen on it, as both
// sockets set SO_REUSEADDR.
func (s *System) reservePort() (string, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", errors.Wrap(err, "reserve a port")
	}
	s.reservedSockets = append(s.reservedSockets, fd)
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return "", errors.Wrap(err, "reserve a port")
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return "", errors.Wrap(err, "reserve a port")
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		return "", errors.Wrap(err, "reserve a port")
	}
	return fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port), nil
}

// releasePorts closes the sockets that reserve ports.
func (s *System) releasePorts() {
	for _, fd := range s.reservedSockets {
		_ = syscall.Close(fd)
	}
	s.reservedSockets = nil
}
