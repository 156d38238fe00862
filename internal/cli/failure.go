package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	fleetoas "samphirestile.example/samphirestile/internal/fleetapi/oas"
	"samphirestile.example/samphirestile/internal/operatorapi/oas"
)

// Exit codes of the command line; ExitHelp describes them.
const (
	ExitOK           = 0
	ExitInternal     = 1
	ExitUsage        = 2
	ExitFile         = 3
	ExitUnauthorized = 4
	ExitInvalid      = 5
	ExitConflict     = 6
	ExitNotFound     = 7
	ExitUnavailable  = 8
	ExitUnknown      = 9
)

// ExitHelp documents the exit codes.
const ExitHelp = `Exit codes:
  0  success
  1  unexpected failure
  2  wrong usage or option
  3  a file cannot be read
  4  the operator token was refused
  5  the change or document is not valid
  6  conflict with another change
  7  the named object does not exist
  8  the daemon or the store is not available; nothing was changed
  9  the outcome is not known; the message says how to find out`

// OptionError reports a missing or malformed option.
type OptionError struct{ Option, Value, Allowed string }

func (e *OptionError) Error() string {
	if e.Value == "" {
		return fmt.Sprintf("%s is missing", e.Option)
	}
	return fmt.Sprintf("%s is %q", e.Option, e.Value)
}

// RequireArgument rejects an empty argument, with which the request would go to
// another path of the operator interface than that of the object.
func RequireArgument(argument, value, allowed string) error {
	if value == "" {
		return &UsageError{Cause: &OptionError{Option: argument, Allowed: allowed}}
	}
	return nil
}

// FileError reports a file that cannot be read or is not accepted.
type FileError struct {
	Path   string
	Cause  error
	Advice string
}

func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.Path, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// UnreachableError reports a daemon that did not respond. Sent is set if the request
// may have reached the daemon.
type UnreachableError struct {
	Server string
	Sent   bool
	Cause  error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no answer from %s: %v", e.Server, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// ChangeError reports a failed command that may have taken effect.
type ChangeError struct {
	// ID is the change ID, or empty if the command has none.
	ID string
	// Advice describes how to find out whether the command took effect.
	Advice string
	Cause  error
}

func (e *ChangeError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *ChangeError) Unwrap() error { return e.Cause }

// UsageError reports a command line that cannot be parsed.
type UsageError struct{ Cause error }

func (e *UsageError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.Cause }

// Report describes a failure for the output.
type Report struct {
	Code            string         `json:"code"`
	Detail          string         `json:"detail"`
	Advice          string         `json:"advice"`
	ExitCode        int            `json:"exit_code"`
	ChangeID        string         `json:"change_id,omitempty"`
	CurrentRevision int64          `json:"current_revision,omitempty"`
	Findings        []oas.Finding  `json:"findings,omitempty"`
	Conflicts       []oas.Conflict `json:"conflicts,omitempty"`
}

// exitCodeOf maps the failure codes of a daemon to exit codes.
var exitCodeOf = map[string]int{
	"unauthorized":          ExitUnauthorized,
	"bad_request":           ExitUsage,
	"not_found":             ExitNotFound,
	"invalid_configuration": ExitInvalid,
	"invalid_change":        ExitInvalid,
	"too_large":             ExitInvalid,
	"revision_conflict":     ExitConflict,
	"change_id_used":        ExitConflict,
	"store_regressed":       ExitConflict,
	"outcome_unknown":       ExitUnknown,
	"store_unavailable":     ExitUnavailable,
	"not_ready":             ExitUnavailable,
}

// Describe returns the report for an error.
func Describe(err error) Report {
	r := classify(err)
	var change *ChangeError
	if errors.As(err, &change) {
		r.ChangeID = change.ID
	}
	return r
}

func classify(err error) Report {
	var (
		usage         *UsageError
		option        *OptionError
		file          *FileError
		unreachable   *UnreachableError
		daemonFailure *oas.FailureStatusCode
		fleetFailure  *fleetoas.FailureStatusCode
		change        *ChangeError
	)
	switch {
	case errors.As(err, &usage):
		return Report{Code: "usage", Detail: err.Error(), Advice: "Run `samphirestile --help`.", ExitCode: ExitUsage}
	case errors.As(err, &option):
		return Report{Code: "option", Detail: err.Error(), Advice: "Give " + option.Allowed + " as flag, in the environment or in the settings file.", ExitCode: ExitUsage}
	case errors.As(err, &file):
		return Report{Code: "file", Detail: err.Error(), Advice: file.Advice, ExitCode: ExitFile}
	case errors.As(err, &daemonFailure):
		return reportDaemonFailure(daemonFailure)
	case errors.As(err, &fleetFailure):
		return reportDaemonFailure(&oas.FailureStatusCode{StatusCode: fleetFailure.StatusCode, Response: oas.Failure{
			Code: fleetFailure.Response.Code, Detail: fleetFailure.Response.Detail, Advice: oas.OptString(fleetFailure.Response.Advice),
		}})
	case errors.As(err, &unreachable) && (!unreachable.Sent || !errors.As(err, &change)):
		return Report{Code: "unreachable", Detail: err.Error(), Advice: "Check --server, or ask another daemon.", ExitCode: ExitUnavailable}
	case errors.As(err, &change):
		// Without a readable response the outcome is unknown.
		return Report{Code: "outcome_unknown", Detail: err.Error(), Advice: change.Advice, ExitCode: ExitUnknown}
	default:
		return Report{Code: "internal", Detail: err.Error(), Advice: "Check that client and daemon have the same version (`samphirestile version`).", ExitCode: ExitInternal}
	}
}

func reportDaemonFailure(f *oas.FailureStatusCode) Report {
	r := Report{
		Code: f.Response.Code, Detail: f.Response.Detail, Advice: f.Response.Advice.Or("Look at the log of the daemon."),
		CurrentRevision: f.Response.CurrentRevision.Or(0), Findings: f.Response.Findings, Conflicts: f.Response.Conflicts,
		ExitCode: ExitInternal,
	}
	if code, ok := exitCodeOf[r.Code]; ok {
		r.ExitCode = code
	}
	return r
}

// Write writes the report in the given format.
func (r Report) Write(w io.Writer, format string) {
	if format == FormatJSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		// An error of the error stream cannot be reported anywhere else.
		_ = e.Encode(r)
		return
	}
	fmt.Fprintf(w, "samphirestile: %s: %s\n", r.Code, r.Detail)
	for _, f := range r.Findings {
		fmt.Fprintf(w, "  %s %s: %s; allowed: %s\n", f.Document, f.Path, f.Value, f.Allowed)
	}
	for _, c := range r.Conflicts {
		fmt.Fprintf(w, "  %s\n    yours:  %s\n    theirs: %s\n", c.Document, orAbsent(c.Yours), orAbsent(c.Theirs))
	}
	if r.CurrentRevision > 0 {
		fmt.Fprintf(w, "  current revision: %d\n", r.CurrentRevision)
	}
	if r.ChangeID != "" {
		fmt.Fprintf(w, "  change ID: %s\n", r.ChangeID)
	}
	fmt.Fprintf(w, "  next: %s\n", r.Advice)
}

func orAbsent(s string) string {
	if s == "" {
		return "(absent)"
	}
	return s
}
