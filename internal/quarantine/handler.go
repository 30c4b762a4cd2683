package quarantine

import (
	"encoding/json"
	"net/http"
)

// quarantineList is the JSON form of a list of entries, the same as in the administration API.
type quarantineList struct {
	Requests []listEntry `json:"requests"`
}

type listEntry struct {
	Fingerprint string      `json:"fingerprint"`
	Kind        string      `json:"kind"`
	Workspace   string      `json:"workspace"`
	Verdict     string      `json:"verdict"`
	ForSeconds  int64       `json:"forSeconds"`
	Ends        []listCrash `json:"ends"`
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

// Path is the URL path at which Handler serves the list. DELETE Path/FINGERPRINT releases a
// request.
const Path = "/quarantine"

// Handler lists the suspected and quarantined requests of a host and lets operators release
// them. It does no authentication, so it must be served on a listener that callers can't reach.
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
			Fingerprint: e.Fingerprint.String(), Kind: e.Kind(), Workspace: e.Workspace, Verdict: e.Verdict.String(), ForSeconds: int64(e.Remaining.Seconds()),
			Ends: []listCrash{},
		}
		for _, c := range e.Ends {
			p.Ends = append(p.Ends, listCrash{Upstream: c.Upstream, Request: c.Request, AgeSeconds: int64(c.Age.Seconds())})
		}
		out.Requests = append(out.Requests, p)
	}
	return out
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
