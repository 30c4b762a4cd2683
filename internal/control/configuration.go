package control

import (
	"context"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/command"
	"github.com/sassafraspost/sassafraspost/internal/state"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// PutConfiguration proposes a configuration and returns the number of the current one after
// the commit. A configuration whose number is not higher than the current one's is ignored.
// Errors are *verdict.Error; unless the verdict is NotRun, the change may have been made.
func (h *Host) PutConfiguration(ctx context.Context, number uint64, data []byte, author string) (uint64, error) {
	if current := h.tables.Configuration().Number; number <= current {
		// The state machine holds committed configurations only, and numbers never decrease.
		return current, nil
	}
	switch {
	case len(data) > state.MaxConfigurationBytes:
		return 0, verdict.New(verdict.NotRun, verdict.CodeTooLarge, "the configuration is too large")
	case len(author) > state.MaxNameBytes:
		return 0, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the name of the author is too long")
	}
	encoded, err := state.Encode(state.PutConfiguration{
		Number: number, Data: data, Author: author, At: time.Now().UnixMilli(),
	})
	if err != nil {
		return 0, command.EncodingError(err)
	}
	value, err := forwarder{h}.Propose(ctx, encoded)
	if err != nil {
		return 0, err
	}
	r, ok := value.(state.ConfigurationResult)
	if !ok {
		return 0, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "configuration was rejected")
	}
	return r.Number, nil
}

// Configuration is a linearizable read of the current configuration. Its number is zero if
// there is none.
func (h *Host) Configuration(ctx context.Context) (state.Configuration, error) {
	if _, err := (reader{h}).Read(ctx); err != nil {
		return state.Configuration{}, err
	}
	return h.tables.Configuration(), nil
}

func (h *Host) handleConfigurationQuery(ctx context.Context, m *wire.ConfigurationQuery) (wire.Message, error) {
	current := h.tables.Configuration()
	if m.Linearizable {
		var err error
		if current, err = h.Configuration(ctx); err != nil {
			return nil, err
		}
	}
	// Read after the configuration, so that a linearizable read covers both.
	answer := &wire.ConfigurationAnswer{Number: current.Number, Evacuations: h.evacuationsMessage()}
	if current.Number > m.NewerThan {
		answer.Data = current.Data
	}
	return answer, nil
}
