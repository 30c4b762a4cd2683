package quarantine

import (
	"encoding/json"
	"net/http"
)

// quarantineList is a list of entries as it is shown, in the form of the administration API.
type quarantineList struct {
	Requests []listEntry `json:"requests"`
}

type listEntry struct {
	Fingerprint string      `json:"fingerprint"`
	Workspace   string      `json:"workspace"`
	Verdict     string      `json:"verdict"`
	ForSeconds  int64       `json:"forSeconds"`
	Crashes     []listCrash `json:"ends"`
}

type listCrash struct {
	Upstream   string `json:"upstream"`
	Request    string `json:"request"`
	AgeSeconds int64  `json:"ageSeconds"`
}

type released struct {
	Fingerprint string `json:"fingerprint"`
	IsReleased  bool   `json:"isReleased"`
}

// Path is where Handler serves the list; a request is released by a DELETE of Path/FINGERPRINT.
const Path = "/quarantine"

// Handler shows what a host holds against requests, and lets operators release them. It asks
// nobody who they are: it belongs on a listener that callers can't reach.
func Handler(k *Keeper) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, newQuarantineList(k.List())) })
	mux.HandleFunc("DELETE "+Path+"/{fingerprint}", func(w http.ResponseWriter, r *http.Request) {
		f, err := ParseFingerprint(r.PathValue("fingerprint"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		isReleased := k.Release(f)
		k.cfg.Log.Warn("request released by an operator", "fingerprint", f.String(), "author", r.RemoteAddr, "was_held", isReleased)
		writeJSON(w, released{Fingerprint: f.String(), IsReleased: isReleased})
	})
	return mux
}

func newQuarantineList(all []Entry) quarantineList {
	out := quarantineList{Requests: []listEntry{}}
	for _, e := range all {
		p := listEntry{
			Fingerprint: e.Fingerprint.String(), Workspace: e.Workspace, Verdict: e.Verdict.String(), ForSeconds: int64(e.Remaining.Seconds()),
			Crashes: []listCrash{},
		}
		for _, end := range e.Crashes {
			p.Crashes = append(p.Crashes, listCrash{Upstream: end.Upstream, Request: end.Request, AgeSeconds: int64(end.Age.Seconds())})
		}
		out.Requests = append(out.Requests, p)
	}
	return out
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
