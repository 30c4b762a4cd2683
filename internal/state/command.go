package state

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/textcheck"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// commandVersion is the version of the encoding of the envelope and its commands.
const commandVersion = 1

// commandKind identifies the type of the command in an envelope. The numbers are part of
// the log's format and never change.
type commandKind uint8

const (
	kindInit             commandKind = 1
	kindAdvanceClock     commandKind = 2
	kindSubmitDocument   commandKind = 3
	kindClaimBatch       commandKind = 4
	kindFinishClaims     commandKind = 5
	kindSetVoterAddress  commandKind = 6
	kindPutConfiguration commandKind = 7
	kindSetEvacuation    commandKind = 8
	kindReserveRetries   commandKind = 9
)

// envelope is the encoded form of a command in the log.
type envelope struct {
	Version uint8           `cbor:"1,keyasint"`
	Kind    commandKind     `cbor:"2,keyasint"`
	Body    cbor.RawMessage `cbor:"3,keyasint"`
}

// Command is one change of the tables: Init, AdvanceClock, SubmitDocument,
// ClaimBatch, FinishClaims, SetVoterAddress, PutConfiguration, SetEvacuation or
// ReserveRetries.
type Command interface {
	kind() commandKind
}

// Init sets the id of the cluster. Only the first Init is accepted.
type Init struct {
	// ClusterID is a random id that the proposer generates.
	ClusterID string `cbor:"1,keyasint"`
	Author    string `cbor:"2,keyasint,omitempty"`
	// At is the proposer's wall clock in Unix milliseconds, for display only.
	At int64 `cbor:"3,keyasint,omitempty"`
}

// AdvanceClock advances the logical clock of the tables by the time that the leader
// measured with its monotonic clock, and deletes what has expired.
type AdvanceClock struct {
	// Elapsed is in milliseconds. More than MaxAdvance counts as MaxAdvance.
	Elapsed uint64 `cbor:"1,keyasint"`
	// Retention is how long claims that are made or finish from now on are kept, in
	// milliseconds, within MinRetention and MaxRetention. Zero keeps the current
	// value. It is part of the log because the settings of two replicas may differ.
	Retention uint64 `cbor:"2,keyasint,omitempty"`
}

// SubmitDocument replaces the text of a document.
type SubmitDocument struct {
	Name string `cbor:"1,keyasint"`
	// BaseRevision is the revision that the author has read; zero for a new document. The
	// submission conflicts unless it is the document's current revision.
	BaseRevision uint64 `cbor:"2,keyasint,omitempty"`
	// ChangeID identifies the change. The author resends it under the same id.
	ChangeID string `cbor:"3,keyasint"`
	Author   string `cbor:"4,keyasint"`
	Text     string `cbor:"5,keyasint,omitempty"`
	// At is the proposer's wall clock in Unix milliseconds, for display only.
	At int64 `cbor:"6,keyasint,omitempty"`
}

// Claim asks for the exclusive right to run a non-idempotent call.
type Claim struct {
	Workspace string `cbor:"1,keyasint"`
	// Key is the caller's idempotency key.
	Key string `cbor:"2,keyasint"`
	// Digest is the digest of the request as received. Another request under the same
	// key is refused.
	Digest [32]byte `cbor:"3,keyasint"`
	// Attempt is the unique id of this attempt.
	Attempt string `cbor:"4,keyasint"`
	// Host and Incarnation identify the process that will dispatch the call.
	Host        string `cbor:"5,keyasint,omitempty"`
	Incarnation uint64 `cbor:"6,keyasint,omitempty"`
	// Deadline is the time in milliseconds after which the outcome of an open claim
	// counts as unknown. It is limited to MaxDeadline.
	Deadline uint64 `cbor:"7,keyasint,omitempty"`
}

// ClaimBatch carries the claims of many callers in one log entry.
type ClaimBatch struct {
	Claims []Claim `cbor:"1,keyasint"`
}

// RecordedResponse is the HTTP response to a call that ran, kept to answer resends.
type RecordedResponse struct {
	// Status is the HTTP status code.
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
}

// Finish reports the outcome of an attempt that was granted a claim.
type Finish struct {
	Workspace string          `cbor:"1,keyasint"`
	Key       string          `cbor:"2,keyasint"`
	Attempt   string          `cbor:"3,keyasint"`
	Verdict   verdict.Verdict `cbor:"4,keyasint,omitempty"`
	// Response is recorded only with the verdict Ran.
	Response *RecordedResponse `cbor:"5,keyasint,omitempty"`
}

// FinishClaims carries the outcomes of many attempts in one log entry.
type FinishClaims struct {
	Finishes []Finish `cbor:"1,keyasint"`
}

// SetVoterAddress sets the network address of a replica of the log.
type SetVoterAddress struct {
	Replica consensus.ReplicaID `cbor:"1,keyasint"`
	Host    string              `cbor:"2,keyasint"`
	Address string              `cbor:"3,keyasint"`
	Author  string              `cbor:"4,keyasint,omitempty"`
	// At is the proposer's wall clock in Unix milliseconds, for display only.
	At int64 `cbor:"5,keyasint,omitempty"`
}

func (Init) kind() commandKind            { return kindInit }
func (AdvanceClock) kind() commandKind    { return kindAdvanceClock }
func (SubmitDocument) kind() commandKind  { return kindSubmitDocument }
func (ClaimBatch) kind() commandKind      { return kindClaimBatch }
func (FinishClaims) kind() commandKind    { return kindFinishClaims }
func (SetVoterAddress) kind() commandKind { return kindSetVoterAddress }

// MaxCommandBytes is the maximum length of an encoded command. A command must fit into one message to the leader,
// which is at most 16 MiB.
const MaxCommandBytes = 15 << 20

// ErrCommandTooLarge is returned for a command that is longer than MaxCommandBytes.
var ErrCommandTooLarge = errors.New("command is too large")

// Encode returns the encoded form of c in the log. It fails for a command that no replica can decode: with a
// *textcheck.Error if a text is not valid UTF-8, or with ErrCommandTooLarge.
func Encode(c Command) ([]byte, error) {
	if err := textcheck.Check(c); err != nil {
		return nil, errors.Wrap(err, "encode command")
	}
	body, err := encoding.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "encode command")
	}
	data, err := encoding.Marshal(envelope{Version: commandVersion, Kind: c.kind(), Body: body})
	if err != nil {
		return nil, errors.Wrap(err, "encode envelope")
	}
	if len(data) > MaxCommandBytes {
		return nil, ErrCommandTooLarge
	}
	return data, nil
}

// decode decodes a command from the log, or returns why it is rejected.
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
	case kindAdvanceClock:
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
	case kindSetEvacuation:
		return decodeBody[SetEvacuation](e.Body)
	case kindReserveRetries:
		return decodeBody[ReserveRetries](e.Body)
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

// maxElements is the maximum number of elements of an array in a command or a snapshot.
const maxElements = 1 << 28

// newModes returns the CBOR modes. It panics on invalid options, which are constant.
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
