package auth

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/settings"
)

func TestTableFindsIdentities(t *testing.T) {
	table := NewTable([]settings.Operator{
		{Name: "platform", TokenHash: HashToken("secret-a"), Admin: true},
		{Name: "team", TokenHash: HashToken("secret-b"), Documents: []string{"entries"}},
		{Name: "all", TokenHash: HashToken("secret-c"), AllDocuments: true},
	})
	admin, ok := table.Find("secret-a")
	require.True(t, ok)
	require.True(t, admin.MayRead("entries"))
	require.False(t, admin.MayWrite("entries"))

	team, ok := table.Find("secret-b")
	require.True(t, ok)
	require.True(t, team.MayWrite("entries"))
	require.False(t, team.MayWrite("other"))
	require.False(t, team.MayRead("other"))

	all, _ := table.Find("secret-c")
	require.True(t, all.MayWrite("other"))

	for _, token := range []string{"", "secret", "secret-a "} {
		_, ok := table.Find(token)
		require.False(t, ok, token)
	}
}
