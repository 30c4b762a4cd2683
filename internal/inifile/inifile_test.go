package inifile

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestValueParsersRefuseInvalidText(t *testing.T) {
	size, err := Size("64 KiB")
	require.NoError(t, err)
	require.Equal(t, 64*KiB, size)
	for _, text := range []string{"1x", "-1", "0", "9223372036854775807 GiB", "KiB", "1.5 MiB"} {
		_, err := Size(text)
		require.Error(t, err, text)
	}
	for _, text := range []string{"NaN", "+Inf", "-0.1", "x"} {
		_, err := Number(0)(text)
		require.Error(t, err, text)
	}
	for _, text := range []string{"host:1", "10.0.0.1", "10.0.0.1:99999", "[::1]"} {
		_, err := AddrPort(text)
		require.Error(t, err, text)
	}
}

func TestValuesAreNotInterpolatedOrInherited(t *testing.T) {
	f, err := Parse("test", []byte("[a]\npath = /x#y ; comment\nother = %(path)s\n[a.b]\n"), 100)
	require.NoError(t, err)
	require.Equal(t, "/x#y", Optional(f.Section("a"), "path", "", String))
	require.Equal(t, "%(path)s", Optional(f.Section("a"), "other", "", String))
	require.Empty(t, Optional(f.Section("a.b"), "path", "", String))
	require.NoError(t, f.Err())
}

func TestRepeatedSectionIsAProblem(t *testing.T) {
	f, err := Parse("test", []byte("[a]\nx = 1\n[a]\ny = 2\n"), 100)
	require.NoError(t, err)
	f.Section("a").IgnoreKeys()
	require.EqualError(t, f.Err(), "test: [a]: section stands twice (line 3)")
}

func TestNumberOfProblemsIsLimited(t *testing.T) {
	f, err := Parse("test", []byte("[a]\n"+strings.Repeat("x = 1\n", MaxProblems+10)), 100000)
	require.NoError(t, err)
	f.Section("a").IgnoreKeys()
	var faults *Error
	require.ErrorAs(t, f.Err(), &faults)
	require.Len(t, faults.Problems, MaxProblems+1)
	require.Contains(t, faults.Error(), "test: 9 more problems are not listed")
}
