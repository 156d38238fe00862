package queries

import (
	"context"

	"samphirestile.example/samphirestile/internal/operatorapi/oas"
	"samphirestile.example/samphirestile/internal/template"
)

// ListKeys returns all keys without secrets.
func (q *Queries) ListKeys(context.Context) ([]oas.KeyInfo, error) {
	_, documents, err := q.Configuration.Documents()
	if err != nil {
		return nil, err
	}
	records, err := template.KeyRecords(documents)
	if err != nil {
		return nil, err
	}
	infos := make([]oas.KeyInfo, len(records))
	for i, k := range records {
		infos[i] = oas.KeyInfo{
			ID: k.ID, Team: string(k.Team),
			Revoked: k.Revoked || q.Configuration.IsRevoked(k.ID),
			Durable: k.Revoked || q.Configuration.Durable(k.ID),
		}
	}
	return infos, nil
}
