package query

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"

	"samphirestile.example/samphirestile/internal/cli"
)

// ReportWhy collects the decisions about one job from the logs of several daemons.
type ReportWhy struct {
	ID   string   `arg:"" help:"Job ID, or a task name that begins with it."`
	Logs []string `arg:"" help:"Log files, one for each daemon." type:"existingfile"`
}

// logLine is one line of a daemon's log.
type logLine struct {
	Time   string         `json:"time"`
	Log    string         `json:"log"`
	Event  string         `json:"event"`
	Fields map[string]any `json:"fields"`
}

// maxLogLineBytes is the maximum length of a log line; a longer line is an error.
const maxLogLineBytes = 1 << 20

// shardEvents are the log messages about the ownership and the records of a whole shard.
var shardEvents = []string{"shard acquired", "shard served", "shard handed over", "ownership lost", "records not written"}

// Run prints the decisions ordered by the timestamps of the daemons.
func (c *ReportWhy) Run(e *cli.Environment) error {
	if err := cli.RequireArgument("ID", c.ID, "the ID of a job"); err != nil {
		return err
	}
	var all []logLine
	for _, path := range c.Logs {
		lines, err := readLog(path)
		if err != nil {
			return err
		}
		all = append(all, lines...)
	}
	selected := selectDecisions(c.ID, all)
	t := cli.Table{Header: []string{"TIME", "LOG", "EVENT", "INPUTS"}}
	for _, l := range selected {
		t.Add(l.Time, l.Log, l.Event, formatFields(l.Fields))
	}
	return e.Print(selected, t)
}

// readLog reads the JSON lines of a file; other lines are skipped.
func readLog(path string) ([]logLine, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, &cli.FileError{Path: path, Cause: err}
	}
	defer func() { _ = f.Close() }()
	var lines []logLine
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		line := scanner.Bytes()
		if start := strings.IndexByte(string(line), '{'); start > 0 {
			// Log collectors often add a prefix to the line.
			line = line[start:]
		}
		fields := map[string]any{}
		if json.Unmarshal(line, &fields) != nil {
			continue
		}
		l := logLine{Time: fmt.Sprint(fields["time"]), Log: filepath.Base(path), Event: fmt.Sprint(fields["msg"]), Fields: fields}
		for _, name := range []string{"time", "msg", "level"} {
			delete(fields, name)
		}
		lines = append(lines, l)
	}
	if err := scanner.Err(); err != nil {
		return nil, &cli.FileError{Path: path, Cause: err}
	}
	return lines, nil
}

// selectDecisions returns the lines about the job, and the events of its shard between the
// first and the last of them.
func selectDecisions(id string, all []logLine) []logLine {
	sort.SliceStable(all, func(i, j int) bool { return all[i].Time < all[j].Time })
	job, _, _ := strings.Cut(id, ".")
	var first, last, shard string
	for _, l := range all {
		if !l.mentions(job) {
			continue
		}
		if first == "" {
			first = l.Time
		}
		last = l.Time
		if s, ok := l.Fields["shard"].(string); ok {
			shard = s
		}
	}
	var selected []logLine
	for _, l := range all {
		isShardEvent := shard != "" && l.Fields["shard"] == shard && slices.Contains(shardEvents, l.Event)
		if l.mentions(job) || (isShardEvent && l.Time >= first && l.Time <= last) {
			selected = append(selected, l)
		}
	}
	return selected
}

// mentions reports whether the line is about the job.
func (l *logLine) mentions(job string) bool {
	if l.Fields["job"] == job {
		return true
	}
	task, ok := l.Fields["task"].(string)
	return ok && strings.HasPrefix(task, job+".")
}

// formatFields formats the fields of a line, sorted by name.
func formatFields(fields map[string]any) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s=%v", name, fields[name]))
	}
	return strings.Join(parts, " ")
}
