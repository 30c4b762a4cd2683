package wire

import "github.com/pkg/errors"

// VersionError reports that the other process uses another version.
type VersionError struct{ Got uint8 }

// Error implements error. The text contains both versions.
func (e *VersionError) Error() string {
	return errors.Errorf("wire: message version %d, this build speaks %d", e.Got, Version).Error()
}

// KindError reports an unknown message kind.
type KindError struct{ Got Kind }

// Error implements error. The text contains the kind.
func (e *KindError) Error() string {
	return errors.Errorf("wire: unknown message kind %d", e.Got).Error()
}

// BodyError reports that a message can't be decoded although its envelope can.
type BodyError struct {
	Kind Kind
	Err  error
}

// Error implements error.
func (e *BodyError) Error() string {
	return "wire: decode message of kind " + e.Kind.String() + ": " + e.Err.Error()
}

// Unwrap returns the error of the decoder.
func (e *BodyError) Unwrap() error { return e.Err }

// EncodeError reports that a message was not encoded, because no receiver of this build could decode it.
type EncodeError struct {
	Kind Kind
	Err  error
}

// Error implements error.
func (e *EncodeError) Error() string {
	return "wire: encode message of kind " + e.Kind.String() + ": " + e.Err.Error()
}

// Unwrap returns the reason.
func (e *EncodeError) Unwrap() error { return e.Err }
