package local

import (
	"crypto/sha256"
	"fmt"
	"strings"
)

// TeamDocument returns a service document for tests with many documents, one for each team. It
// has a model, a plain service and a number of workspaces with limits.
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
	for workspace := range workspaces {
		fmt.Fprintf(&b, `
[workspace "team-%d-workspace-%d"]
share = %d
max-requests-per-second = 50
max-concurrent = 16
max-tokens-per-second = 20000
token-sha256 = %x
`, team, workspace, 1+workspace%5, sha256.Sum256([]byte(fmt.Sprintf("token %d of %d", workspace, team))))
	}
	return b.String()
}
