package wire

import (
	"net/netip"

	"github.com/pkg/errors"
)

// Address is a network address such as "ip:port" with a compact binary encoding.
type Address string

// The first byte of an encoded address says whether binary or text follows.
const (
	addressBinary byte = iota
	addressText
)

// MarshalBinary implements encoding.BinaryMarshaler. An address that is not an IP address
// with a port is encoded as text.
func (a Address) MarshalBinary() ([]byte, error) {
	parsed, err := netip.ParseAddrPort(string(a))
	if err != nil || parsed.String() != string(a) {
		return append([]byte{addressText}, a...), nil
	}
	data, err := parsed.MarshalBinary()
	return append([]byte{addressBinary}, data...), err
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (a *Address) UnmarshalBinary(data []byte) error {
	if len(data) == 0 {
		return errors.New("wire: empty address")
	}
	if data[0] == addressText {
		*a = Address(data[1:])
		return nil
	}
	var parsed netip.AddrPort
	if err := parsed.UnmarshalBinary(data[1:]); err != nil {
		return errors.Wrap(err, "wire: address")
	}
	if !parsed.IsValid() {
		return errors.New("wire: address without an IP address")
	}
	*a = Address(parsed.String())
	return nil
}
