package routetable

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newRoute(name, host, prefix string, shares ...ServiceWeight) Route {
	return Route{Name: name, HostName: host, Prefix: prefix, Timeout: time.Second, ServiceWeights: shares}
}

func newTable(change func(*Table)) *Table {
	t := &Table{
		Number: 1,
		Routes: []Route{
			newRoute("wide", "a.example", "/", ServiceWeight{"s", 1}),
			newRoute("narrow", "A.example", "/x/", ServiceWeight{"s", 1}),
			newRoute("narrower", "a.example", "/x/y/", ServiceWeight{"s", 90}, ServiceWeight{"t", 10}),
		},
		Services:   []Service{{Name: "s"}, {Name: "t"}},
		Workspaces: []Workspace{{Name: "w", Keys: []string{"k1", "k2"}}, {Name: "v", Keys: []string{"k3"}}},
	}
	if change != nil {
		change(t)
	}
	return t
}

func TestMatchPrefersLongestPrefix(t *testing.T) {
	tb := newTable(nil)
	require.NoError(t, tb.Build())
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "narrower"},
		{"a.example:8080", "/x/z", "narrow"},
		{"A.EXAMPLE", "/xy", "wide"},
		{"b.example", "/x/", ""},
	} {
		got := ""
		if r := tb.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		require.Equal(t, c.want, got, c)
	}
}

func TestBuildRejectsInvalidTables(t *testing.T) {
	for name, change := range map[string]func(*Table){
		"no number":                  func(t *Table) { t.Number = 0 },
		"unknown service":            func(t *Table) { t.Routes[0].ServiceWeights[0].Service = "u" },
		"duplicate prefix":           func(t *Table) { t.Routes[1].Prefix = "/" },
		"no weight":                  func(t *Table) { t.Routes[0].ServiceWeights[0].Weight = 0 },
		"no timeout":                 func(t *Table) { t.Routes[0].Timeout = 0 },
		"shared key":                 func(t *Table) { t.Workspaces[1].Keys = []string{"k2"} },
		"prefix without final slash": func(t *Table) { t.Routes[0].Prefix = "/x" },
	} {
		require.Error(t, newTable(change).Build(), name)
	}
}

func TestPickServiceFollowsWeights(t *testing.T) {
	tb := newTable(nil)
	require.NoError(t, tb.Build())
	r := tb.Match("a.example", "/x/y/")
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.PickService(float64(i)/1000)]++
	}
	require.Equal(t, map[string]int{"s": 900, "t": 100}, counts)
}

func TestWorkspaceKeysAndRetryRules(t *testing.T) {
	tb := newTable(nil)
	require.NoError(t, tb.Build())
	require.Equal(t, "w", tb.WorkspaceByKey("k2").Name)
	require.Nil(t, tb.WorkspaceByKey("k9"))
	require.True(t, tb.NeedsKey(&tb.Routes[0]))
	require.False(t, tb.NeedsKey(&Route{IsPublic: true}))
	require.False(t, (&Route{Kind: Unsafe}).AllowsRetry())
	require.False(t, (&Route{Kind: Stream}).AllowsRetry())
	require.True(t, (&Route{Kind: Stream, IsResumable: true}).AllowsRetry())
	require.True(t, (&Route{Kind: Safe}).AllowsRetry())
}

func TestLongestGapUsesOnlyTheServicesOwnRoutes(t *testing.T) {
	tb := newTable(func(t *Table) {
		t.Routes[0].MaxEventGap = 100 * time.Millisecond
		t.Routes[1].MaxEventGap = 50 * time.Millisecond
		t.Routes[2].MaxEventGap = 120 * time.Millisecond
		t.Routes[2].ServiceWeights = []ServiceWeight{{"t", 1}}
	})
	require.NoError(t, tb.Build())
	require.Equal(t, 100*time.Millisecond, tb.LongestEventGap("s"))
	require.Equal(t, 120*time.Millisecond, tb.LongestEventGap("t"))
	require.Zero(t, tb.LongestEventGap("u"))
}
