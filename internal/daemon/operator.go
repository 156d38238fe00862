package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"samphirestile.example/samphirestile/internal/config"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/keys"
	"samphirestile.example/samphirestile/internal/operatorapi/oas"
)

type operatorStub struct {
	oas.UnimplementedHandler
	d *Daemon
}

func (operatorStub) HandleOperatorToken(ctx context.Context, _ oas.OperationName, _ oas.OperatorToken) (context.Context, error) {
	return ctx, nil
}

func (o operatorStub) NewError(_ context.Context, err error) *oas.FailureStatusCode {
	return &oas.FailureStatusCode{StatusCode: http.StatusInternalServerError, Response: oas.Failure{Code: "internal", Detail: err.Error()}}
}

func (o operatorStub) GetConfig(context.Context) (*oas.Config, error) {
	revision, documents, err := o.d.config.Documents()
	if err != nil {
		return nil, err
	}
	c := &oas.Config{Revision: int64(revision)}
	for name, content := range documents {
		c.Documents = append(c.Documents, oas.Document{Name: name, Content: oas.NewOptString(string(content))})
	}
	return c, nil
}

func (o operatorStub) ApplyConfig(ctx context.Context, r *oas.Change) (*oas.Accepted, error) {
	change := config.Change{ID: r.ChangeID, Operator: r.Operator.Or(""), Expected: uint64(r.ExpectedRevision)}
	for _, doc := range r.Documents {
		content, ok := doc.Content.Get()
		change.Documents = append(change.Documents, config.DocumentChange{Name: doc.Name, Content: []byte(content), Remove: !ok})
	}
	a, err := o.d.config.Apply(ctx, change)
	if err != nil {
		return nil, err
	}
	return &oas.Accepted{Revision: int64(a.Revision), ChangeID: a.ChangeID}, nil
}

func (o operatorStub) GiveKey(ctx context.Context, r *oas.GiveKeyReq) (*oas.NewKey, error) {
	text, record := keys.Generate(fleet.TeamID(r.Team))
	team, ok := o.d.config.Current().Teams[fleet.TeamID(r.Team)]
	if !ok {
		return nil, &notServedError{"team " + r.Team}
	}
	_, err := o.d.config.Modify(ctx, config.Modification{ID: r.ChangeID, Digest: record.ID, Edit: func(documents map[string][]byte) ([]config.DocumentChange, error) {
		name := "keys/" + team.Account
		var doc struct {
			Keys []fleet.Key `json:"keys"`
		}
		if len(documents[name]) > 0 {
			if err := json.Unmarshal(documents[name], &doc); err != nil {
				return nil, err
			}
		}
		doc.Keys = append(doc.Keys, record)
		content, err := json.Marshal(doc)
		return []config.DocumentChange{{Name: name, Content: content}}, err
	}})
	if err != nil {
		return nil, err
	}
	return &oas.NewKey{ID: record.ID, Team: r.Team, Key: text}, nil
}

func (d *Daemon) operatorHandler() (http.Handler, error) {
	s, err := oas.NewServer(operatorStub{d: d}, operatorStub{})
	if err != nil {
		return nil, fmt.Errorf("operator interface: %w", err)
	}
	return s, nil
}

func (d *Daemon) requireOperator(h http.Handler) http.Handler { return h }
