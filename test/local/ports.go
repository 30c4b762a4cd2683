package local

import (
	"fmt"
	"syscall"

	"github.com/pkg/errors"
)

// reservePort returns a loopback address with a port from the kernel that nobody else
// gets before the system stops: a socket stays bound to it without listening, which
// keeps the kernel from giving the port away and lets a process listen on it.
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

func (s *System) releasePorts() {
	for _, fd := range s.reservedSockets {
		_ = syscall.Close(fd)
	}
	s.reservedSockets = nil
}
