package adminapi

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// Guards against an order of somebody who is not an admin, one that is misread, and an invalid one
// that has an effect.
func TestEvacuations(t *testing.T) {
	f := &fakeBackend{}
	url := serve(t, f, nil) + "/v1/evacuations"
	order := func(method, name, token, body string) response {
		req, err := http.NewRequest(method, url+"/"+name, strings.NewReader(body))
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+token)
		return do(t, req)
	}
	require.JSONEq(t, `{"dataCentres":[]}`, get(t, url, "team").body)
	require.Equal(t, http.StatusForbidden, order(http.MethodPut, "east", "team", "").status)
	require.Equal(t, http.StatusForbidden, order(http.MethodDelete, "east", "team", "").status)
	for _, name := range []string{"", strings.Repeat("x", 257)} {
		status := order(http.MethodPut, name, "admin", "").status
		require.Equal(t, 4, status/100, status)
	}
	require.Equal(t, http.StatusBadRequest, order(http.MethodPut, strings.Repeat("x", 257), "admin", "").status)
	require.Equal(t, http.StatusBadRequest, order(http.MethodPut, "east", "admin", "{}").status)
	require.Empty(t, f.orders)
	f.evacuated = []string{"east"}
	require.JSONEq(t, `{"dataCentres":["east"]}`, order(http.MethodPut, "east", "admin", "").body)
	require.Equal(t, http.StatusOK, order(http.MethodDelete, "we%20st", "admin", "").status)
	require.Equal(t, []EvacuationRequest{
		{DataCentre: "east", IsEvacuated: true, Author: "platform"}, {DataCentre: "we st", Author: "platform"},
	}, f.orders)
	f.err = verdict.New(verdict.MayHaveRun, verdict.CodeNoQuorum, "no leader")
	require.Equal(t, http.StatusServiceUnavailable, order(http.MethodPut, "east", "admin", "").status)
	require.Equal(t, http.StatusServiceUnavailable, get(t, url, "team").status)
}
