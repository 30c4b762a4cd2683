package quarantine

import (
	"encoding/json"
	"net/http"
)

// page is a list of entries as it is shown, in the form of the administration API.
type page struct {
	Requests []pageEntry `json:"requests"`
}

type pageEntry struct {
	Fingerprint string    `json:"fingerprint"`
	Workspace   string    `json:"workspace"`
	Verdict     string    `json:"verdict"`
	ForSeconds  int64     `json:"forSeconds"`
	Ends        []pageEnd `json:"ends"`
}

type pageEnd struct {
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
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, _ *http.Request) { reply(w, pageOf(k.List())) })
	mux.HandleFunc("DELETE "+Path+"/{fingerprint}", func(w http.ResponseWriter, r *http.Request) {
		f, err := ParseFingerprint(r.PathValue("fingerprint"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		isReleased := k.Release(f)
		k.cfg.Log.Warn("request released by an operator", "fingerprint", f.String(), "author", r.RemoteAddr, "was_held", isReleased)
		reply(w, released{Fingerprint: f.String(), IsReleased: isReleased})
	})
	return mux
}

func pageOf(all []Entry) page {
	out := page{Requests: []pageEntry{}}
	for _, e := range all {
		p := pageEntry{
			Fingerprint: e.Fingerprint.String(), Workspace: e.Workspace, Verdict: e.Verdict.String(), ForSeconds: int64(e.Remaining.Seconds()),
			Ends: []pageEnd{},
		}
		for _, end := range e.Crashes {
			p.Ends = append(p.Ends, pageEnd{Upstream: end.Upstream, Request: end.Request, AgeSeconds: int64(end.Age.Seconds())})
		}
		out.Requests = append(out.Requests, p)
	}
	return out
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
