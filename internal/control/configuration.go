package control

import (
	"context"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/state"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// PutConfiguration offers a configuration and returns the number in force once that is
// committed. A number that is not higher changes nothing. Errors are *verdict.Error;
// the change may have been made unless it says NotRun.
func (h *Host) PutConfiguration(ctx context.Context, number uint64, data []byte, author string) (uint64, error) {
	if held := h.tables.Configuration().Number; number <= held {
		// What the tables hold is committed, and numbers never fall.
		return held, nil
	}
	command, err := state.Encode(state.PutConfiguration{
		Number: number, Data: data, Author: author, At: time.Now().UnixMilli(),
	})
	if err != nil {
		return 0, err
	}
	value, err := forwarder{h}.Propose(ctx, command)
	if err != nil {
		return 0, err
	}
	r, ok := value.(state.ConfigurationResult)
	if !ok {
		return 0, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "configuration was rejected")
	}
	return r.Number, nil
}

// Configuration returns the newest configuration that was accepted anywhere before the
// call, as a quorum confirms. It has the number zero where there is none.
func (h *Host) Configuration(ctx context.Context) (state.Configuration, error) {
	if _, err := (reader{h}).Read(ctx); err != nil {
		return state.Configuration{}, err
	}
	return h.tables.Configuration(), nil
}

func (h *Host) handleConfigurationQuery(ctx context.Context, m *wire.ConfigurationQuery) (wire.Message, error) {
	held := h.tables.Configuration()
	if m.Linearizable {
		var err error
		if held, err = h.Configuration(ctx); err != nil {
			return nil, err
		}
	}
	answer := &wire.ConfigurationAnswer{Number: held.Number}
	if held.Number > m.NewerThan {
		answer.Data = held.Data
	}
	return answer, nil
}
