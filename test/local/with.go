package local

import (
	"os"
	"path/filepath"
)

// WithSystem builds the programs, starts a system in a temporary folder, calls use with it and
// stops it again.
func WithSystem(layout Layout, use func(*System) error) error {
	dir, err := os.MkdirTemp("", "sassafraspost-local-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	bin := filepath.Join(dir, "bin")
	if err := Build(bin); err != nil {
		return err
	}
	s, err := New(dir, bin, layout)
	if err != nil {
		return err
	}
	defer s.Stop()
	if err := s.Start(); err != nil {
		return err
	}
	return use(s)
}
