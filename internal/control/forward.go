package control

import (
	"context"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/replica"
	"github.com/sassafraspost/sassafraspost/internal/state"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// forwarder proposes commands to the local replica, and to the leader if this host does
// not lead.
type forwarder struct{ h *Host }

// Propose implements command.Proposer. If this host becomes the leader while it asks the others, it
// proposes the command itself. Commands are idempotent, so another host may have proposed it too.
func (f forwarder) Propose(ctx context.Context, data []byte) (any, error) {
	mayHaveRun := false
	for {
		r, err := f.h.replica.Propose(ctx, data)
		if err == nil {
			return r.Value, nil
		}
		var notLeader *replica.NotLeaderError
		if !errors.As(err, &notLeader) {
			return nil, withPossibleRun(err, mayHaveRun)
		}
		reply, err := f.h.client.Propose(ctx, &wire.Propose{Data: data})
		if err == nil {
			return decodeResult(reply.Result)
		}
		mayHaveRun = mayHaveRun || verdict.FromError(err).Verdict != verdict.NotRun
		if !errors.Is(err, errOwnHostLeads) {
			return nil, withPossibleRun(err, mayHaveRun)
		}
	}
}

// localProposer proposes commands to the local replica only. Claims and their outcomes go to the
// leader straight from the hosts that hold them. A former leader that forwarded a batch of them
// could not return its results, so that callers whose claims are granted would get an error.
type localProposer struct{ h *Host }

// Propose implements command.Proposer.
func (p localProposer) Propose(ctx context.Context, data []byte) (any, error) {
	r, err := p.h.replica.Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	return r.Value, nil
}

// forwardedResult is the encoded form of the result of a forwarded command. One of the
// pointers is set.
type forwardedResult struct {
	Submit        *state.SubmitResult        `cbor:"1,keyasint,omitempty"`
	Repeated      bool                       `cbor:"2,keyasint,omitempty"`
	Init          *state.InitResult          `cbor:"3,keyasint,omitempty"`
	Address       *state.VoterAddressResult  `cbor:"4,keyasint,omitempty"`
	Rejected      *state.Rejected            `cbor:"5,keyasint,omitempty"`
	Configuration *state.ConfigurationResult `cbor:"6,keyasint,omitempty"`
	Evacuation    *state.EvacuationResult    `cbor:"7,keyasint,omitempty"`
}

// encodeResult encodes the result of a forwarded command. Results of claims can't be encoded,
// because hosts send claims directly to the leader.
func encodeResult(value any) ([]byte, error) {
	var r forwardedResult
	switch v := value.(type) {
	case state.SubmitResult:
		r.Submit, r.Repeated = &v, v.Repeated
	case state.InitResult:
		r.Init = &v
	case state.VoterAddressResult:
		r.Address = &v
	case state.Rejected:
		r.Rejected = &v
	case state.ConfigurationResult:
		r.Configuration = &v
	case state.EvacuationResult:
		r.Evacuation = &v
	default:
		return nil, errors.Errorf("control: result %T can't be forwarded", value)
	}
	return wire.Marshal(r)
}

func decodeResult(data []byte) (any, error) {
	var r forwardedResult
	if err := wire.Unmarshal(data, &r); err != nil {
		return nil, errors.Wrap(err, "control: result of a forwarded command")
	}
	switch {
	case r.Submit != nil:
		r.Submit.Repeated = r.Repeated
		return *r.Submit, nil
	case r.Init != nil:
		return *r.Init, nil
	case r.Address != nil:
		return *r.Address, nil
	case r.Rejected != nil:
		return *r.Rejected, nil
	case r.Configuration != nil:
		return *r.Configuration, nil
	case r.Evacuation != nil:
		return *r.Evacuation, nil
	}
	return nil, verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "empty result of a forwarded command")
}
