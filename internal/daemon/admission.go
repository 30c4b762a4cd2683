package daemon

import (
	"context"

	"github.com/sassafraspost/sassafraspost/internal/entry"
)

// openAdmission lets every request in.
type openAdmission struct{}

func newAdmission() entry.Admission { return openAdmission{} }

// Admit implements entry.Admission.
func (openAdmission) Admit(context.Context, entry.AdmitRequest) (func(), error) {
	return func() {}, nil
}
