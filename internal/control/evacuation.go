package control

import (
	"context"
	"fmt"
	"slices"
	"time"
	"unicode/utf8"

	"github.com/sassafraspost/sassafraspost/internal/adminapi"
	"github.com/sassafraspost/sassafraspost/internal/command"
	"github.com/sassafraspost/sassafraspost/internal/pause"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/state"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// maxDataCentreBytes is the maximum length of the name of a data centre.
const maxDataCentreBytes = 256

// SetEvacuation starts or ends the evacuation of a data centre. It returns once the order is
// committed and the attached entry hosts have confirmed it or notifyTimeout has passed. An order
// that changes nothing succeeds too. The returned table is that after the order.
//
// Errors are *verdict.Error. The code is CodeBadRequest for a data centre that does not exist;
// unless the verdict is NotRun, the order may have been applied or may still be.
func (h *Host) SetEvacuation(ctx context.Context, dataCentre string, isEvacuated bool, author string) (state.EvacuationResult, error) {
	if err := h.checkDataCentre(dataCentre); err != nil {
		return state.EvacuationResult{}, err
	}
	r, err := h.proposeEvacuation(ctx, state.SetEvacuation{
		DataCentre: dataCentre, IsEvacuated: isEvacuated, Author: author, At: time.Now().UnixMilli(),
		LastOrder: h.tables.Evacuations().Of(dataCentre).Ordered,
	})
	if err != nil {
		h.cfg.Log.Warn("evacuation not ordered", "data_centre", dataCentre, "evacuate", isEvacuated, "author", author, "error", err.Error())
		return state.EvacuationResult{}, err
	}
	h.cfg.Log.Warn("evacuation ordered", "data_centre", dataCentre, "evacuate", isEvacuated, "author", author,
		"outcome", r.Outcome.String(), "index", r.Index, "evacuated", r.Evacuated)
	return r, h.fleet.confirmEvacuations(ctx, &wire.Evacuations{Index: r.Index, DataCentres: r.Evacuated})
}

// checkDataCentre returns an error for the name of a data centre that does not exist. If the known
// ones are not configured, any valid name is accepted.
func (h *Host) checkDataCentre(name string) error {
	if name == "" || len(name) > maxDataCentreBytes || !utf8.ValidString(name) {
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the name of the data centre is missing, too long or not in UTF-8")
	}
	if known := h.cfg.DataCentres; len(known) > 0 && !slices.Contains(known, name) {
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, "unknown data centre")
	}
	return nil
}

// callerCheckDelay is the pause before each proposal of an order. A caller may have left while this
// host was cut off or frozen, and the opposite order may have been acknowledged by another host since.
// The end of the caller's connection arrives right behind the order, within a round trip, and ends
// the order's context.
const callerCheckDelay = 25 * time.Millisecond

// proposeEvacuation proposes an order until it is not stale any more or ctx ends. The first index is
// from this host's table, which may be out of date; later ones come with the results.
func (h *Host) proposeEvacuation(ctx context.Context, c state.SetEvacuation) (state.EvacuationResult, error) {
	for {
		pause.For(ctx, callerCheckDelay)
		if ctx.Err() != nil {
			return state.EvacuationResult{}, verdict.New(verdict.NotRun, verdict.CodeDeadline, "the caller does not wait any more")
		}
		data, err := state.Encode(c)
		if err != nil {
			return state.EvacuationResult{}, command.EncodingError(err)
		}
		value, err := forwarder{h}.Propose(ctx, data)
		if err != nil {
			return state.EvacuationResult{}, err
		}
		r, ok := value.(state.EvacuationResult)
		if !ok {
			return r, verdict.New(verdict.NotRun, verdict.CodeBadRequest, fmt.Sprintf("order was rejected: %+v", value))
		}
		if r.Outcome != state.EvacuationStale {
			return r, nil
		}
		c.LastOrder = r.LastOrder
	}
}

// Evacuations is a linearizable read of the table of evacuations.
func (h *Host) Evacuations(ctx context.Context) (state.Evacuations, error) {
	if _, err := (reader{h}).Read(ctx); err != nil {
		return state.Evacuations{}, err
	}
	return h.tables.Evacuations(), nil
}

// SetEvacuation implements adminapi.Commands.
func (a API) SetEvacuation(ctx context.Context, req adminapi.EvacuationRequest) ([]string, error) {
	r, err := a.h.SetEvacuation(ctx, req.DataCentre, req.IsEvacuated, req.Author)
	return r.Evacuated, err
}

// Evacuated implements adminapi.Queries.
func (a API) Evacuated(ctx context.Context) ([]string, error) {
	e, err := a.h.Evacuations(ctx)
	return e.Evacuated(), err
}

// evacuationsMessage returns the table of this host for entry hosts, or nil if no data centre was
// ever evacuated. Hosts of older builds don't know the message.
func (h *Host) evacuationsMessage() *wire.Evacuations {
	e := h.tables.Evacuations()
	if e.Index == 0 {
		return nil
	}
	return &wire.Evacuations{Index: e.Index, DataCentres: e.Evacuated()}
}

// servesCallers reports whether hosts that attach with a role send requests to upstreams.
func servesCallers(role string) bool { return role == roleEntry || role == roleCallers }

// runEvacuations sends changed evacuations to the attached entry hosts until ctx ends.
func (f *fleet) runEvacuations(ctx context.Context) {
	for {
		changed := f.h.tables.EvacuationsChanged()
		if m := f.h.evacuationsMessage(); m != nil {
			f.postEvacuations(m)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// postEvacuations sends evacuations to the attached entry hosts.
func (f *fleet) postEvacuations(m *wire.Evacuations) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for s, role := range f.attached {
		if servesCallers(role) && s.Alive() {
			s.PostOrClose(m)
		}
	}
}

// confirmEvacuations sends evacuations to the attached entry hosts and waits for their replies, see
// callAll. The order is committed already, so the wait does not end with ctx.
func (f *fleet) confirmEvacuations(ctx context.Context, m *wire.Evacuations) error {
	if m.Index == 0 {
		return nil
	}
	var sessions []*peer.Session
	f.mu.Lock()
	for s, role := range f.attached {
		if servesCallers(role) && s.Alive() && s.SilentFor() < quietTimeout {
			sessions = append(sessions, s)
		}
	}
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), notifyTimeout)
	defer cancel()
	_, err := callAll(ctx, sessions, m, func(wire.Message) {})
	if err != nil {
		f.h.cfg.Log.Warn("evacuations refused by a host", "index", m.Index, "error", err.Error())
	}
	return err
}
