package process

import (
	"context"
	"fmt"
	"time"

	"samphirestile.example/samphirestile/internal/emulator/history"
	"samphirestile.example/samphirestile/internal/operatorapi/oas"
)

// Key is an API key of one team.
type Key struct {
	ID     string
	Team   string
	Secret string
}

// NoDaemonError reports that no daemon is running.
type NoDaemonError struct{}

func (e *NoDaemonError) Error() string { return "cell: no daemon is running" }

// operator returns the client of the first running daemon.
func (c *Cell) operator() (*oas.Client, error) {
	running := c.Running()
	if len(running) == 0 {
		return nil, &NoDaemonError{}
	}
	return running[0].Operator, nil
}

// Apply applies documents as one change on top of the latest revision and returns
// the new revision.
func (c *Cell) Apply(docs ...oas.Document) (int64, error) {
	client, err := c.operator()
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	current, err := client.GetConfig(ctx)
	if err != nil {
		return 0, fmt.Errorf("read the configuration before a change: %w", err)
	}
	c.changes++
	accepted, err := client.ApplyConfig(ctx, &oas.Change{
		ChangeID:         numbered("harness-change", c.changes),
		Operator:         oas.NewOptString("harness"),
		ExpectedRevision: current.Revision,
		Documents:        docs,
	})
	if err != nil {
		return 0, fmt.Errorf("apply a change of %d documents to revision %d: %w", len(docs), current.Revision, err)
	}
	return accepted.Revision, nil
}

// ApplyAll applies the services, teams and endpoints of the cell in one change.
func (c *Cell) ApplyAll() error {
	docs, err := c.documents()
	if err != nil {
		return err
	}
	_, err = c.Apply(docs...)
	return err
}

// SetLimit changes the upper limit of a team and records the change as an event.
func (c *Cell) SetLimit(team string, limit int) error {
	for i := range c.Teams {
		if c.Teams[i].ID == team {
			c.Teams[i].Limit = limit
		}
	}
	docs, err := c.accountDocuments()
	if err != nil {
		return err
	}
	if _, err := c.Apply(docs...); err != nil {
		return err
	}
	c.Recorder.Add(history.Event{Kind: history.KindLimit, Team: team, Limit: limit})
	return nil
}

// MarkLeaving marks an endpoint as leaving and records the change as an event.
func (c *Cell) MarkLeaving(e *Endpoint) error {
	e.Leaving = true
	doc, err := c.endpointsDocument(e.Service.ID)
	if err != nil {
		return err
	}
	if _, err := c.Apply(doc); err != nil {
		return err
	}
	c.Recorder.Add(history.Event{Kind: history.KindLeaving, Endpoint: e.ID})
	return nil
}

// GiveKey issues a key to a team.
func (c *Cell) GiveKey(team string) (Key, error) {
	client, err := c.operator()
	if err != nil {
		return Key{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	c.changes++
	k, err := client.GiveKey(ctx, &oas.GiveKeyReq{Team: team, ChangeID: numbered("harness-key", c.changes)})
	if err != nil {
		return Key{}, fmt.Errorf("issue a key to team %s: %w", team, err)
	}
	return Key{ID: k.ID, Team: k.Team, Secret: k.Key}, nil
}

// Revoke revokes a key through daemon d. The revocation is recorded before the
// command is sent.
func (c *Cell) Revoke(d *Daemon, id string) (*oas.Revocation, error) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	c.Recorder.Add(history.Event{Kind: history.KindRevoked, KeyID: id})
	r, err := d.Operator.RevokeKey(ctx, oas.RevokeKeyParams{ID: id})
	if err != nil {
		return nil, fmt.Errorf("revoke key %s through %s: %w", id, d.ID, err)
	}
	return r, nil
}

// StaleConfigurationError reports a daemon that did not reach a revision in time.
type StaleConfigurationError struct {
	Daemon   string
	Revision int64
	Want     int64
}

func (e *StaleConfigurationError) Error() string {
	return fmt.Sprintf("daemon %s: configuration revision %d, want at least %d", e.Daemon, e.Revision, e.Want)
}

// Revision returns the configuration revision in effect on d; 0 when it cannot be read.
func (d *Daemon) Revision() int64 {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	config, err := d.Operator.GetConfig(ctx)
	if err != nil {
		return 0
	}
	return config.Revision
}

// AwaitConfiguration waits until all running daemons have at least the revision that
// the first one has now.
func (c *Cell) AwaitConfiguration(timeout time.Duration) error {
	running := c.Running()
	if len(running) == 0 {
		return &NoDaemonError{}
	}
	want := running[0].Revision()
	end := time.Now().Add(timeout)
	for _, d := range running {
		for d.Revision() < want {
			if time.Now().After(end) {
				return &StaleConfigurationError{Daemon: d.ID, Revision: d.Revision(), Want: want}
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}
