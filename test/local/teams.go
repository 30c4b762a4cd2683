package local

import (
	"crypto/sha256"
	"fmt"
	"strings"
)

// TeamDocument returns the document of one of many teams: a model, a plain service
// and a number of workspaces with limits.
func TeamDocument(team, workspaces int, version string) string {
	var b strings.Builder
	fmt.Fprintf(&b, `[service]
name = team-%d

[objective]
deadline = 20s

[model "model-%d"]
version = %s
checks-fencing = true

[plain-service "service-%d"]
path-prefix = /team-%d
`, team, team, version, team, team)
	for w := range workspaces {
		fmt.Fprintf(&b, `
[workspace "team-%d-workspace-%d"]
share = %d
max-requests-per-second = 50
max-concurrent = 16
max-tokens-per-second = 20000
token-sha256 = %x
`, team, w, 1+w%5, sha256.Sum256([]byte(fmt.Sprintf("token %d of %d", w, team))))
	}
	return b.String()
}
