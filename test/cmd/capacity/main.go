// Command capacity measures the cost of the control plane with real processes: control
// hosts, and entry hosts in several data centres, that store the documents of many
// workspaces. It prints the bytes, messages, CPU and memory per host while nothing
// changes, and how long changes take until they are in force everywhere.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/sassafraspost/sassafraspost/test/local"
)

const timeout = 9 * time.Minute

type options struct {
	control, centres, entries, agents int
	teams, workspaces, changes        int
	idleTime                          time.Duration
}

func main() {
	var o options
	cmd := &cobra.Command{
		Use:          "capacity",
		Short:        "Measure what control costs a node, with real processes",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE:         func(*cobra.Command, []string) error { return run(o) },
	}
	fs := cmd.Flags()
	fs.IntVar(&o.control, "control", 3, "control hosts")
	fs.IntVar(&o.centres, "centres", 3, "data centres")
	fs.IntVar(&o.entries, "entries", 3, "entry hosts in each data centre")
	fs.IntVar(&o.agents, "agents", 0, "agents in each data centre, each with a stand-in")
	fs.IntVar(&o.teams, "teams", 27, "documents")
	fs.IntVar(&o.workspaces, "workspaces", 249, "workspaces in each document")
	fs.IntVar(&o.changes, "changes", 20, "changes to time")
	fs.DurationVar(&o.idleTime, "span", 20*time.Second, "how long to measure idle cost")
	if err := cmd.Execute(); err != nil {
		os.Exit(1)
	}
}

func run(o options) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	layout := local.Layout{Control: o.control, Entries: o.entries, Engines: o.agents}
	for i := range o.centres {
		layout.DataCentres = append(layout.DataCentres, fmt.Sprintf("centre-%d", i))
	}
	return local.WithSystem(layout, func(s *local.System) error { return measure(ctx, s, o) })
}

func measure(ctx context.Context, s *local.System, o options) error {
	if err := s.Bootstrap(ctx); err != nil {
		return err
	}
	m := measurement{System: s, options: o}
	if err := m.submitAll(ctx); err != nil {
		return err
	}
	if err := m.measureIdle(ctx); err != nil {
		return err
	}
	return m.measureChanges(ctx)
}

type measurement struct {
	*local.System
	options options
}

// submitAll submits the documents of all teams, and prints how long it takes until they are in
// force.
func (m measurement) submitAll(ctx context.Context) error {
	begin := time.Now()
	for team := range m.options.teams {
		if out, err := m.SubmitWithBase(ctx, 0, local.TeamDocument(team, m.options.workspaces, "v1")); err != nil {
			return errors.Wrap(err, out)
		}
	}
	revision, err := m.awaitInForce(ctx, m.options.teams-1)
	fmt.Printf("%d documents of %d workspaces, %d bytes each, in force on %d hosts after %v, revision %d\n",
		m.options.teams, m.options.workspaces, len(local.TeamDocument(0, m.options.workspaces, "v1")), len(m.Entries),
		time.Since(begin).Round(time.Millisecond), revision)
	return err
}

// status holds the fields that are used of the output of the status command. InForce is the number
// of entry hosts on which the document is in force.
type status struct {
	Revision uint64 `json:"revision"`
	InForce  int    `json:"inForce"`
}

// awaitInForce waits until the document of a team is in force on every entry host.
func (m measurement) awaitInForce(ctx context.Context, team int) (uint64, error) {
	var st status
	err := local.Await(ctx, func() bool {
		out, err := m.RunCLI(ctx, "status", fmt.Sprintf("team-%d", team), "-o", "json")
		return err == nil && json.Unmarshal([]byte(out), &st) == nil && st.InForce == len(m.Entries)
	})
	return st.Revision, err
}

// measureIdle prints the usage per host while nothing changes.
func (m measurement) measureIdle(ctx context.Context) error {
	kinds := []struct {
		name  string
		hosts []*local.Host
	}{{"control host", m.Control}, {"entry host", m.Entries}, {"agent", m.Agents}}
	before := make([]usage, len(kinds))
	for i, k := range kinds {
		var err error
		if before[i], err = readUsage(ctx, k.hosts); err != nil {
			return err
		}
	}
	<-time.After(m.options.idleTime)
	for i, k := range kinds {
		if len(k.hosts) == 0 {
			continue
		}
		after, err := readUsage(ctx, k.hosts)
		if err != nil {
			return err
		}
		after.print(k.name, before[i], m.options.idleTime.Seconds()*float64(len(k.hosts)), len(k.hosts))
	}
	return nil
}

// usage is the sum of the counters, CPU time and resident memory of some hosts.
type usage struct {
	counters map[string]int64
	cpu      time.Duration
	resident int64
}

func readUsage(ctx context.Context, hosts []*local.Host) (usage, error) {
	var out usage
	var err error
	if out.counters, err = local.Counters(ctx, hosts); err != nil {
		return out, err
	}
	for _, h := range hosts {
		u, err := h.Usage()
		if err != nil {
			return out, err
		}
		out.cpu += u.CPU
		out.resident += u.Resident
	}
	return out, nil
}

// print prints the usage per host since before. hostSeconds is the number of hosts times the
// seconds between the two readings.
func (s usage) print(name string, before usage, hostSeconds float64, hosts int) {
	rate := func(counter string) float64 {
		key := "sassafraspost_peer_control_" + counter
		return float64(s.counters[key]-before.counters[key]) / hostSeconds
	}
	fmt.Printf("%s: sends %.1f messages/s, %.0f B/s; receives %.1f messages/s, %.0f B/s; %.3f%% of a core; %.1f MiB resident\n",
		name, rate("sent_messages"), rate("sent_bytes"), rate("received_messages"), rate("received_bytes"),
		100*(s.cpu-before.cpu).Seconds()/hostSeconds, float64(s.resident)/float64(hosts)/(1<<20))
}

// measureChanges prints the time from the response to a submission until the change is in force on
// all entry hosts.
func (m measurement) measureChanges(ctx context.Context) error {
	var durations []time.Duration
	for i := range m.options.changes {
		out, err := m.RunCLI(ctx, "status", "team-0", "-o", "json")
		if err != nil {
			return errors.Wrap(err, out)
		}
		var st status
		if err := json.Unmarshal([]byte(out), &st); err != nil {
			return err
		}
		text := local.TeamDocument(0, m.options.workspaces, fmt.Sprintf("v%d", i+2))
		if out, err := m.SubmitWithBase(ctx, st.Revision, text); err != nil {
			return errors.Wrap(err, out)
		}
		accepted := time.Now()
		if _, err := m.awaitInForce(ctx, 0); err != nil {
			return err
		}
		durations = append(durations, time.Since(accepted))
	}
	slices.Sort(durations)
	fmt.Printf("in force everywhere after the answer: p50 %v, max %v over %d changes\n",
		durations[len(durations)/2].Round(time.Millisecond), durations[len(durations)-1].Round(time.Millisecond), len(durations))
	return nil
}
