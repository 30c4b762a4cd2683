package state

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// commandVersion is the version of the envelope and of the commands in it.
const commandVersion = 1

// commandKind names the command in an envelope. The numbers are part of the log's
// format and never change.
type commandKind uint8

const (
	kindInit             commandKind = 1
	kindAdvanceAge       commandKind = 2
	kindSubmitDocument   commandKind = 3
	kindClaimBatch       commandKind = 4
	kindFinishClaims     commandKind = 5
	kindSetVoterAddress  commandKind = 6
	kindPutConfiguration commandKind = 7
)

// envelope is the form of a command in the log.
type envelope struct {
	Version uint8           `cbor:"1,keyasint"`
	Kind    commandKind     `cbor:"2,keyasint"`
	Body    cbor.RawMessage `cbor:"3,keyasint"`
}

// Command is one change of the tables: Init, AdvanceAge, SubmitDocument,
// ClaimBatch, FinishClaims, SetVoterAddress or PutConfiguration.
type Command interface {
	kind() commandKind
}

// Init names the cluster. Only the first one is accepted.
type Init struct {
	// ClusterID is random, drawn by the proposer.
	ClusterID string `cbor:"1,keyasint"`
	Author    string `cbor:"2,keyasint,omitempty"`
	// At is the proposer's wall clock in Unix milliseconds, for display only.
	At int64 `cbor:"3,keyasint,omitempty"`
}

// AdvanceClock moves the age of the tables on by the time that the leader measured
// with its monotonic clock.
type AdvanceClock struct {
	// Elapsed is in milliseconds; what exceeds MaxAdvance is not counted.
	Elapsed uint64 `cbor:"1,keyasint"`
	// Retention is how long claims that come or end from here on are kept, in
	// milliseconds, within MinRetention and MaxRetention; zero keeps the span in
	// force. It stands in the log since the settings of two replicas may differ.
	Retention uint64 `cbor:"2,keyasint,omitempty"`
}

// SubmitDocument replaces the text of a document.
type SubmitDocument struct {
	Name string `cbor:"1,keyasint"`
	// Base is the revision that the author has read; zero where there was none.
	Base uint64 `cbor:"2,keyasint,omitempty"`
	// ChangeID names the change; the author resends under the same one.
	ChangeID string `cbor:"3,keyasint"`
	Author   string `cbor:"4,keyasint"`
	Text     string `cbor:"5,keyasint,omitempty"`
	// At is the proposer's wall clock in Unix milliseconds, for display only.
	At int64 `cbor:"6,keyasint,omitempty"`
}

// Claim asks for the right to run a non-idempotent call.
type Claim struct {
	Workspace string `cbor:"1,keyasint"`
	// Key is the caller's idempotency key.
	Key string `cbor:"2,keyasint"`
	// Digest is that of the request as received.
	Digest [32]byte `cbor:"3,keyasint"`
	// Attempt names this attempt; it is never used for another one.
	Attempt string `cbor:"4,keyasint"`
	// Host and Incarnation name the process that will dispatch.
	Host        string `cbor:"5,keyasint,omitempty"`
	Incarnation uint64 `cbor:"6,keyasint,omitempty"`
	// Deadline is the span in milliseconds after which an open claim counts as
	// unknown; what exceeds MaxDeadline is not counted.
	Deadline uint64 `cbor:"7,keyasint,omitempty"`
}

// ClaimBatch carries the claims of many callers.
type ClaimBatch struct {
	Claims []Claim `cbor:"1,keyasint"`
}

// RecordedResponse is the answer to a call that ran.
type RecordedResponse struct {
	// Status is the HTTP status code.
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
}

// Finish tells the end of an attempt.
type Finish struct {
	Workspace string          `cbor:"1,keyasint"`
	Key       string          `cbor:"2,keyasint"`
	Attempt   string          `cbor:"3,keyasint"`
	Verdict   verdict.Verdict `cbor:"4,keyasint,omitempty"`
	// Answer is recorded only with the verdict Ran.
	Answer *RecordedResponse `cbor:"5,keyasint,omitempty"`
}

// FinishClaims carries the ends of many attempts.
type FinishClaims struct {
	Finishes []Finish `cbor:"1,keyasint"`
}

// SetVoterAddress tells where a replica of the log is reached.
type SetVoterAddress struct {
	Replica consensus.ReplicaID `cbor:"1,keyasint"`
	Host    string              `cbor:"2,keyasint"`
	Address string              `cbor:"3,keyasint"`
	Author  string              `cbor:"4,keyasint,omitempty"`
	// At is the proposer's wall clock in Unix milliseconds, for display only.
	At int64 `cbor:"5,keyasint,omitempty"`
}

func (Init) kind() commandKind            { return kindInit }
func (AdvanceClock) kind() commandKind    { return kindAdvanceAge }
func (SubmitDocument) kind() commandKind  { return kindSubmitDocument }
func (ClaimBatch) kind() commandKind      { return kindClaimBatch }
func (FinishClaims) kind() commandKind    { return kindFinishClaims }
func (SetVoterAddress) kind() commandKind { return kindSetVoterAddress }

// Encode returns the form of c in the log.
func Encode(c Command) ([]byte, error) {
	body, err := encoding.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "encode command")
	}
	data, err := encoding.Marshal(envelope{Version: commandVersion, Kind: c.kind(), Body: body})
	return data, errors.Wrap(err, "encode envelope")
}

// decode reads a command from the log.
func decode(data []byte) (Command, *Rejected) {
	if len(data) == 0 {
		return nil, &Rejected{Reason: ReasonEmpty}
	}
	var e envelope
	if err := decoding.Unmarshal(data, &e); err != nil {
		return nil, &Rejected{Reason: ReasonMalformed}
	}
	if e.Version != commandVersion {
		return nil, &Rejected{Reason: ReasonUnknownVersion}
	}
	switch e.Kind {
	case kindInit:
		return decodeBody[Init](e.Body)
	case kindAdvanceAge:
		return decodeBody[AdvanceClock](e.Body)
	case kindSubmitDocument:
		return decodeBody[SubmitDocument](e.Body)
	case kindClaimBatch:
		return decodeBody[ClaimBatch](e.Body)
	case kindFinishClaims:
		return decodeBody[FinishClaims](e.Body)
	case kindSetVoterAddress:
		return decodeBody[SetVoterAddress](e.Body)
	case kindPutConfiguration:
		return decodeBody[PutConfiguration](e.Body)
	}
	return nil, &Rejected{Reason: ReasonUnknownKind}
}

func decodeBody[C Command](body []byte) (Command, *Rejected) {
	var c C
	if err := decoding.Unmarshal(body, &c); err != nil {
		return nil, &Rejected{Reason: ReasonMalformed}
	}
	return c, nil
}

var encoding, decoding = newModes()

// maxElements bounds the elements of one array in a command or a snapshot.
const maxElements = 1 << 28

// newModes returns the CBOR modes; the options are constant and valid.
func newModes() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	dec, err := cbor.DecOptions{MaxArrayElements: maxElements}.DecMode()
	if err != nil {
		panic(err)
	}
	return enc, dec
}
