package settings

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/inifile"
)

const minimalAgent = `
[host]
name = w1
data-centre = a
roles = agent
[peer]
listen = 127.0.0.1:7000
secret = 0123456789abcdef
[agent]
upstream-url = http://127.0.0.1:8000
kind = model
pool = drafter
entries = 127.0.0.1:1
control = 127.0.0.1:2
`

func TestExampleSettingsAreValid(t *testing.T) {
	paths, err := filepath.Glob("../../settings/*.example.ini")
	require.NoError(t, err)
	require.Len(t, paths, 3)
	for _, path := range paths {
		_, err := Load(path)
		require.NoError(t, err, path)
	}
}

func TestDefaults(t *testing.T) {
	s, err := Parse([]byte(minimalAgent))
	require.NoError(t, err)
	require.Equal(t, 30*time.Second, s.Host.ShutdownGrace)
	require.Equal(t, s.Peer.Listen, s.Peer.Advertise)
	require.Equal(t, LogJSON, s.Log.Format)
	require.Equal(t, 64, s.Agent.Capacity)
	require.Equal(t, time.Second, s.Agent.AnnounceInterval)
	require.True(t, s.HasRole(RoleAgent))
	require.False(t, s.HasRole(RoleControl))
	require.NotContains(t, fmt.Sprintf("%v %+v %#v", s, s, s), "0123456789abcdef")
}

func TestControlExampleValues(t *testing.T) {
	s, err := Load("../../settings/control.example.ini")
	require.NoError(t, err)
	require.Equal(t, netip.MustParseAddrPort("127.0.0.1:9001"), s.Control.APIListen)
	require.Len(t, s.Control.Peers, 3)
	require.Len(t, s.Operators, 2)
	require.True(t, s.Operators[0].AllDocuments && s.Operators[0].Admin)
	require.Equal(t, []string{"entries"}, s.Operators[1].Documents)
}

func TestParseReportsAllProblems(t *testing.T) {
	_, err := Parse([]byte(`stray = 1
[host]
name = e1
data-centre = a
roles = entry
[peer]
listen = localhost:7000
secret = short
[entry]
listen = 127.0.0.1:1
listen = 127.0.0.1:2
control = 127.0.0.1:3, 127.0.0.1:3
entries = e1=127.0.0.1:1, e1=127.0.0.1:2
max-body = 1x
tls-key = key.pem
colour = red
[agent]
pool = x
[extra]
`))
	var faults *inifile.Error
	require.ErrorAs(t, err, &faults)
	require.Equal(t, strings.TrimSpace(`
settings: stray: stands outside any section (line 1)
settings: [peer] listen: "localhost:7000" is not an IP number and port (line 7)
settings: [peer] secret: is shorter than 16 characters (line 8)
settings: [entry] tls-certificate: tls-certificate and tls-key must be set together (line 9)
settings: [entry] listen: stands twice (line 11)
settings: [entry] control: "127.0.0.1:3" stands twice in the list (line 12)
settings: [entry] entries: e1=127.0.0.1:2 repeats a name or an address (line 13)
settings: [entry] max-body: "1x" is not a size (line 14)
settings: [entry] colour: unknown key (line 16)
settings: [agent]: the host does not have the role agent (line 17)
settings: [extra]: unknown section (line 19)`), err.Error())
}

func TestParseRefusesInvalidSettings(t *testing.T) {
	hash := strings.Repeat("ab", 32)
	control := strings.Replace(minimalAgent, "roles = agent", "roles = agent, control", 1) +
		"[control]\ndata-folder = d\napi-listen = 127.0.0.1:4\npeers = 127.0.0.1:1\n"
	cases := map[string]struct{ text, want string }{
		"not INI":             {"[host]\nname\n", "(line 2)"},
		"host name in URL":    {strings.Replace(minimalAgent, "127.0.0.1:8000", "engine:8000", 1), "does not hold an IP number"},
		"ranks without group": {minimalAgent + "ranks = 4", "[agent] ranks: ranks are served by a group only"},
		"ranks out of range":  {minimalAgent + "group = g\nfirst-rank = 1000\nranks = 100", "ranks beyond 1023"},
		"two secrets":         {strings.Replace(minimalAgent, "[agent]", "secret-file = f\n[agent]", 1), "only one of"},
		"lost secret file":    {strings.Replace(minimalAgent, "secret = 0123456789abcdef", "secret-file = /nonexistent", 1), "[peer] secret-file: open"},
		"operator elsewhere":  {minimalAgent + "[operator \"a\"]\n", "unknown section"},
		"operator's name":     {control + "[operator a]\ntoken-sha256 = " + hash, `not of the form [operator "NAME"]`},
		"shared token":        {control + "[operator \"a\"]\ntoken-sha256 = " + hash + "\n[operator \"b\"]\ntoken-sha256 = " + hash, `token of operator "a" too`},
		"short token hash":    {control + "[operator \"a\"]\ntoken-sha256 = abcd", "64 hexadecimal digits"},
		"advertise":           {strings.Replace(minimalAgent, "listen = 127.0.0.1:7000", "listen = 0.0.0.0:7000", 1), "not an address that others can reach"},
		"too long":            {strings.Repeat("#", MaxSize+1), "exceeds the limit"},
	}
	for name, c := range cases {
		_, err := Parse([]byte(c.text))
		require.ErrorContains(t, err, c.want, name)
		require.True(t, strings.HasPrefix(err.Error(), "settings: "), name)
	}
}

// Guards against a host that starts although no other host can decode its first message or reach the address in
// it, or takes part in nothing since its secret can't be sent.
func TestSettingsThatNoOtherHostCanUseAreRefused(t *testing.T) {
	replaced := func(old, new string) string {
		require.Contains(t, minimalAgent, old)
		return strings.Replace(minimalAgent, old, new, 1)
	}
	secretFile := filepath.Join(t.TempDir(), "secret")
	require.NoError(t, os.WriteFile(secretFile, []byte("0123456789abcdef\r\nX: 1"), 0o600))
	for name, c := range map[string]struct{ text, want string }{
		"bytes in the name":        {replaced("name = ", "name = a\xff"), "not UTF-8"},
		"bytes in a comment":       {minimalAgent + "# \xff\xfe\n", "not UTF-8"},
		"text in the name":         {replaced("name = ", "name = größe"), "[host] name: "},
		"NUL in the data centre":   {replaced("data-centre = ", "data-centre = a\x00"), "[host] data-centre: "},
		"long name":                {replaced("name = ", "name = "+strings.Repeat("a", 64)), "[host] name: "},
		"address of one machine":   {replaced("listen = 127.0.0.1:7000", "listen = [fe80::1%eth0]:7000"), "[peer] advertise: "},
		"advertised to nobody":     {replaced("listen = 127.0.0.1:7000", "listen = 127.0.0.1:7000\nadvertise = [fe80::1%\x01]:7000"), "[peer] advertise: "},
		"line break in the secret": {replaced("secret = 0123456789abcdef", "secret-file = "+secretFile), "[peer] secret: "},
		"control in the secret":    {replaced("secret = 0123456789abcdef", "secret = 0123456789\x01abcdef"), "[peer] secret: "},
	} {
		_, err := Parse([]byte(c.text))
		require.ErrorContains(t, err, c.want, name)
	}
	_, err := Parse([]byte(replaced("secret = 0123456789abcdef", "secret = 0123456789\tgrößer")))
	require.NoError(t, err)
}

func TestSecretIsReadFromFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "secret")
	require.NoError(t, os.WriteFile(path, []byte("0123456789abcdef\n"), 0o600))
	s, err := Parse([]byte(strings.Replace(minimalAgent, "secret = 0123456789abcdef", "secret-file = "+path, 1)))
	require.NoError(t, err)
	require.Equal(t, Secret("0123456789abcdef"), s.Peer.Secret)
}
