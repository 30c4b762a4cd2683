package adminapi

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// An operator who may not read all documents must not see the requests of all workspaces, and
// only an admin may release one.
func TestQuarantinePermissions(t *testing.T) {
	f := &fakeBackend{quarantine: []quarantine.Entry{{
		Fingerprint: quarantine.Fingerprint{1}, Workspace: "clubs", Verdict: quarantine.Suspect,
		Ends: []quarantine.EntryCrash{{Incarnation: quarantine.Incarnation{Upstream: "u"}, Request: "r", Age: 3 * time.Second}},
	}}}
	url := serve(t, f, nil) + "/v1/quarantine"
	require.Equal(t, string(verdict.CodeForbidden), get(t, url, "team").problem.Code)
	a := get(t, url, "admin")
	require.JSONEq(t, `{"requests":[{"fingerprint":"01000000000000000000000000000000","kind":"request","workspace":"clubs","verdict":"suspect",
		"forSeconds":0,"ends":[{"upstream":"u","request":"r","ageSeconds":3}]}]}`, a.body)
	release := func(fingerprint, token string) response {
		req, err := http.NewRequest(http.MethodDelete, url+"/"+fingerprint, nil)
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+token)
		return do(t, req)
	}
	require.Equal(t, http.StatusForbidden, release("01000000000000000000000000000000", "team").status)
	require.Equal(t, http.StatusBadRequest, release("01", "admin").status)
	require.Empty(t, f.released)
	a = release("01000000000000000000000000000000", "admin")
	require.JSONEq(t, `{"fingerprint":"01000000000000000000000000000000","isReleased":true}`, a.body)
	require.Equal(t, []ReleaseRequest{{Fingerprint: quarantine.Fingerprint{1}, Author: "platform"}}, f.released)
}
