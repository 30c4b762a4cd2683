package adminapi

import (
	"context"

	"github.com/sassafraspost/sassafraspost/api/oas"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// ListQuarantine lists the requests that are suspected of crashing upstreams.
func (h *handler) ListQuarantine(ctx context.Context) (*oas.Quarantine, error) {
	if identity := identityOf(ctx); !identity.Admin && !identity.AllDocuments {
		return nil, forbidden("only who may read all documents may see the requests of all workspaces")
	}
	all, err := h.queries.Quarantine(ctx)
	if err != nil {
		return nil, err
	}
	out := &oas.Quarantine{Requests: []oas.SuspectRequest{}}
	for _, e := range all {
		out.Requests = append(out.Requests, toSuspectRequest(e))
	}
	return out, nil
}

func toSuspectRequest(e quarantine.Entry) oas.SuspectRequest {
	out := oas.SuspectRequest{
		Fingerprint: e.Fingerprint.String(),
		Kind:        oas.NewOptSuspectRequestKind(oas.SuspectRequestKind(e.Kind())),
		Workspace:   e.Workspace,
		Verdict:     oas.SuspectRequestVerdict(e.Verdict.String()),
		ForSeconds:  int64(e.Remaining.Seconds()),
		Ends:        []oas.UpstreamEnd{},
	}
	for _, crash := range e.Ends {
		out.Ends = append(out.Ends, oas.UpstreamEnd{Upstream: crash.Upstream, Request: crash.Request, AgeSeconds: int64(crash.Age.Seconds())})
	}
	return out
}

// ReleaseRequest takes a request out of quarantine.
func (h *handler) ReleaseRequest(ctx context.Context, params oas.ReleaseRequestParams) (*oas.Released, error) {
	identity := identityOf(ctx)
	if !identity.Admin {
		return nil, forbidden("only an admin may release a request")
	}
	f, err := quarantine.ParseFingerprint(params.Fingerprint)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeBadRequest, err.Error())
	}
	isReleased, err := h.commands.Release(ctx, ReleaseRequest{Fingerprint: f, Author: identity.Name})
	if err != nil {
		return nil, err
	}
	return &oas.Released{Fingerprint: params.Fingerprint, IsReleased: isReleased}, nil
}
