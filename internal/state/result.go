package state

import "github.com/sassafraspost/sassafraspost/internal/verdict"

// Reason is the reason why a command was rejected. Control hosts send its
// text to each other.
type Reason string

// The reasons of a rejection. Every replica rejects a command for the same reason.
const (
	ReasonEmpty          Reason = "empty command"
	ReasonMalformed      Reason = "malformed command"
	ReasonUnknownVersion Reason = "unknown version of command"
	ReasonUnknownKind    Reason = "unknown kind of command"
	ReasonAlreadyApplied Reason = "already applied"
	ReasonInvalidName    Reason = "missing or too long name"
	ReasonTooLarge       Reason = "document is too large"
	// ReasonTooManyDataCentres: there were orders for MaxDataCentres other data centres.
	ReasonTooManyDataCentres Reason = "too many data centres"
	// ReasonTooManyServices: retries were reserved for MaxRetryServices other services.
	ReasonTooManyServices Reason = "too many services"
)

// Rejected is the result of an invalid command, which had no effect.
type Rejected struct{ Reason Reason }

// InitResult is the result of Init.
type InitResult struct {
	// Accepted is set if this command set the id of the cluster.
	Accepted bool
	// ClusterID is the id of the cluster, set by this command or an earlier one.
	ClusterID string
}

// ClockResult is the result of AdvanceClock.
type ClockResult struct {
	// LogicalTime is the new time of the logical clock.
	LogicalTime LogicalTime
	// Expired is the number of claims that expired and were deleted.
	Expired int
}

// SubmitOutcome is the outcome of a submission.
type SubmitOutcome uint8

// The outcomes of a submission.
const (
	// SubmitAccepted: the text is durably in force until a later revision.
	SubmitAccepted SubmitOutcome = iota + 1
	// SubmitConflict: another change was accepted after the base revision.
	SubmitConflict
	// SubmitChangeIDReused: the change id was submitted before with another text.
	SubmitChangeIDReused
)

var submitOutcomeNames = map[SubmitOutcome]string{
	SubmitAccepted:       "accepted",
	SubmitConflict:       "conflict",
	SubmitChangeIDReused: "change-id-reused",
}

// String returns the form used in the audit trail.
func (o SubmitOutcome) String() string { return submitOutcomeNames[o] }

// Winner identifies the accepted change that a submission conflicts with.
type Winner struct {
	Revision uint64 `cbor:"1,keyasint"`
	Author   string `cbor:"2,keyasint,omitempty"`
	ChangeID string `cbor:"3,keyasint,omitempty"`
}

// SubmitResult is the result of SubmitDocument.
type SubmitResult struct {
	Outcome SubmitOutcome `cbor:"1,keyasint"`
	// Revision is the new revision if the change was accepted, and the document's
	// current one otherwise.
	Revision uint64 `cbor:"2,keyasint,omitempty"`
	// Winner is set for a conflict if the document exists.
	Winner *Winner `cbor:"3,keyasint,omitempty"`
	// Repeated is set if the change was submitted before. The result is the one of the
	// first submission, unless the change id was reused with another text.
	Repeated bool `cbor:"-"`
}

// ClaimOutcome is the outcome of a request for a claim.
type ClaimOutcome uint8

// The outcomes of a claim.
const (
	// ClaimGranted: this attempt, and no other, may dispatch the call.
	ClaimGranted ClaimOutcome = iota + 1
	// ClaimInProgress: another attempt holds the claim and its deadline has not passed.
	ClaimInProgress
	// ClaimFinished: an earlier attempt has finished; see Verdict and Response.
	ClaimFinished
	// ClaimUnknown: the attempt that holds the claim did not finish by its deadline.
	// The call may have run.
	ClaimUnknown
	// ClaimKeyReused: the key was used before for another request.
	ClaimKeyReused
	// ClaimRefused: there are too many claims, in the workspace or in total, or a name
	// in the claim is missing or too long. This request did not run.
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
	// Verdict states whether the call of the claim ran.
	Verdict verdict.Verdict
	// Response is the response to the call of a finished claim, if it was recorded. It is
	// shared and must not be changed.
	Response *RecordedResponse
	// Remaining is the time in milliseconds until the deadline of a claim in progress,
	// after which the outcome is ClaimUnknown.
	Remaining uint64
}

// ClaimBatchResult is the result of ClaimBatch, in the order of the claims.
type ClaimBatchResult struct{ Claims []ClaimResult }

// FinishOutcome is the outcome of a Finish.
type FinishOutcome uint8

// The outcomes of a Finish.
const (
	// FinishIgnored: the attempt does not hold the claim, or the claim has a final
	// verdict already.
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
	// Changed is set if the replica had another address before, or none.
	Changed bool
}
