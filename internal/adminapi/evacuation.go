package adminapi

import (
	"context"
	"net/http"
	"strings"

	"github.com/sassafraspost/sassafraspost/api/oas"
	"github.com/sassafraspost/sassafraspost/internal/textcheck"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// maxDataCentreBytes is the maximum length of the name of a data centre.
const maxDataCentreBytes = 256

// evacuationPath is the path of the operations on evacuations.
const evacuationPath = "/v1/evacuations"

// ListEvacuations lists the evacuated data centres.
func (h *handler) ListEvacuations(ctx context.Context) (*oas.Evacuations, error) {
	all, err := h.queries.Evacuated(ctx)
	if err != nil {
		return nil, err
	}
	return toEvacuations(all), nil
}

// StartEvacuation starts the evacuation of a data centre.
func (h *handler) StartEvacuation(ctx context.Context, params oas.StartEvacuationParams) (*oas.Evacuations, error) {
	return h.setEvacuation(ctx, params.DataCentre, true)
}

// EndEvacuation ends the evacuation of a data centre.
func (h *handler) EndEvacuation(ctx context.Context, params oas.EndEvacuationParams) (*oas.Evacuations, error) {
	return h.setEvacuation(ctx, params.DataCentre, false)
}

func (h *handler) setEvacuation(ctx context.Context, dataCentre string, isEvacuated bool) (*oas.Evacuations, error) {
	identity := identityOf(ctx)
	if !identity.Admin {
		return nil, forbidden("only an admin may evacuate a data centre")
	}
	if !textcheck.IsName(dataCentre, maxDataCentreBytes) {
		return nil, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the name of the data centre is too long or has characters that no name has")
	}
	all, err := h.commands.SetEvacuation(ctx, EvacuationRequest{DataCentre: dataCentre, IsEvacuated: isEvacuated, Author: identity.Name})
	if err != nil {
		return nil, err
	}
	return toEvacuations(all), nil
}

func toEvacuations(all []string) *oas.Evacuations {
	return &oas.Evacuations{DataCentres: append([]string{}, all...)}
}

// hasUnexpectedBody reports whether a request has a body although its operation takes none. An order
// with a body may be meant for another operation, so it must have no effect.
func hasUnexpectedBody(r *http.Request) bool {
	return r.ContentLength != 0 && strings.HasPrefix(r.URL.Path, evacuationPath)
}

func unexpectedBody() error {
	return verdict.New(verdict.NotRun, verdict.CodeBadRequest, "this operation takes no body")
}
