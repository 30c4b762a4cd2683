package state

import "github.com/sassafraspost/sassafraspost/internal/verdict"

// Reason tells why a command had no effect at all.
type Reason string

// The reasons of a rejection. Every replica finds the same one.
const (
	ReasonEmpty          Reason = "empty command"
	ReasonMalformed      Reason = "malformed command"
	ReasonUnknownVersion Reason = "unknown version of command"
	ReasonUnknownKind    Reason = "unknown kind of command"
	ReasonAlreadyApplied Reason = "already applied"
	ReasonInvalidName    Reason = "missing or too long name"
	ReasonTooLarge       Reason = "document is too large"
)

// Rejected is the result of a command that the tables cannot take.
type Rejected struct{ Reason Reason }

// InitResult is the result of Init.
type InitResult struct {
	// Accepted tells that this command named the cluster.
	Accepted bool
	// ClusterID is the name in force.
	ClusterID string
}

// ClockResult is the result of AdvanceAge.
type ClockResult struct {
	LogicalTime LogicalTime
	// Expired counts the claims that were forgotten.
	Expired int
}

// SubmitOutcome tells what became of a submission.
type SubmitOutcome uint8

// The outcomes of a submission.
const (
	// SubmitAccepted: the text is in force, for good, until a later revision.
	SubmitAccepted SubmitOutcome = iota + 1
	// SubmitConflict: another change was accepted since the base.
	SubmitConflict
	// SubmitChangeIDReused: the change id was sent before with another text.
	SubmitChangeIDReused
)

var submitOutcomeNames = map[SubmitOutcome]string{
	SubmitAccepted:       "accepted",
	SubmitConflict:       "conflict",
	SubmitChangeIDReused: "change-id-reused",
}

// String returns the form used in the audit trail.
func (o SubmitOutcome) String() string { return submitOutcomeNames[o] }

// Winner names the change that a conflicting submission met.
type Winner struct {
	Revision uint64 `cbor:"1,keyasint"`
	Author   string `cbor:"2,keyasint,omitempty"`
	ChangeID string `cbor:"3,keyasint,omitempty"`
}

// SubmitResult is the result of SubmitDocument.
type SubmitResult struct {
	Outcome SubmitOutcome `cbor:"1,keyasint"`
	// Revision is that of this change where it was accepted, and the one in force
	// otherwise.
	Revision uint64 `cbor:"2,keyasint,omitempty"`
	// Winner is set for a conflict with a document that exists.
	Winner *Winner `cbor:"3,keyasint,omitempty"`
	// Repeated tells that this is the first outcome of a change sent again.
	Repeated bool `cbor:"-"`
}

// ClaimOutcome tells what became of a claim.
type ClaimOutcome uint8

// The outcomes of a claim.
const (
	// ClaimGranted: this attempt, and no other, may dispatch.
	ClaimGranted ClaimOutcome = iota + 1
	// ClaimInProgress: another attempt holds the claim, within its deadline.
	ClaimInProgress
	// ClaimFinished: an attempt has ended; see Verdict and Answer.
	ClaimFinished
	// ClaimUnknown: the attempt that holds the claim is past its deadline. It may
	// have run.
	ClaimUnknown
	// ClaimKeyReused: the key was used for another request.
	ClaimKeyReused
	// ClaimRefused: there are too many claims, of the workspace or altogether, or a
	// name of the claim is missing or too long. This request did not run.
	ClaimRefused
)

var claimOutcomeNames = map[ClaimOutcome]string{
	ClaimGranted:    "granted",
	ClaimInProgress: "in-progress",
	ClaimFinished:   "finished",
	ClaimUnknown:    "unknown",
	ClaimKeyReused:  "key-reused",
	ClaimRefused:    "refused",
}

// String returns the form used in logs.
func (o ClaimOutcome) String() string { return claimOutcomeNames[o] }

// ClaimResult is the result of one claim.
type ClaimResult struct {
	Outcome ClaimOutcome
	// Verdict tells of a finished claim whether the call ran.
	Verdict verdict.Verdict
	// Answer is that of a finished claim, where it was recorded. It is shared and
	// must not be changed.
	Answer *RecordedResponse
	// Remaining is the span in milliseconds until a claim in progress counts as
	// unknown.
	Remaining uint64
}

// ClaimBatchResult is the result of ClaimBatch, in the order of the claims.
type ClaimBatchResult struct{ Claims []ClaimResult }

// FinishOutcome tells what became of a Finish.
type FinishOutcome uint8

// The outcomes of a Finish.
const (
	// FinishIgnored: the attempt does not hold the claim, or it has ended already.
	FinishIgnored FinishOutcome = iota + 1
	// FinishRecorded: the verdict is recorded.
	FinishRecorded
	// FinishFreed: the call did not run and the key may be claimed again.
	FinishFreed
)

// FinishResult is the result of FinishClaims, in the order of the finishes.
type FinishResult struct{ Finishes []FinishOutcome }

// VoterAddressResult is the result of SetVoterAddress.
type VoterAddressResult struct {
	// Changed tells that another address was known, or none.
	Changed bool
}
