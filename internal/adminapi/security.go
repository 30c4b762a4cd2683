package adminapi

import (
	"context"

	"github.com/sassafraspost/sassafraspost/api/oas"
	"github.com/sassafraspost/sassafraspost/internal/auth"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// security authenticates the operator of each request.
type security struct{ operators *auth.Table }

type identityKey struct{}

// HandleBearer adds the identity of a valid token to the context.
func (s *security) HandleBearer(ctx context.Context, _ oas.OperationName, t oas.Bearer) (context.Context, error) {
	identity, ok := s.operators.Find(t.Token)
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "unknown token")
	}
	return context.WithValue(ctx, identityKey{}, identity), nil
}

// identityOf returns the identity that HandleBearer added. If there is none, it returns an
// identity without permissions.
func identityOf(ctx context.Context) auth.Identity {
	identity, _ := ctx.Value(identityKey{}).(auth.Identity)
	return identity
}

func forbidden(text string) error {
	return verdict.New(verdict.NotRun, verdict.CodeForbidden, text)
}
