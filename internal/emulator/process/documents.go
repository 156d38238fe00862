package process

import (
	"slices"

	"samphirestile.example/samphirestile/internal/operatorapi/oas"
)

type serviceDocument struct {
	Open         bool   `json:"open,omitempty"`
	OpenTeam     string `json:"open_team,omitempty"`
	MaxRunTimeMS int    `json:"max_run_time_ms"`
	MaxWaitMS    int    `json:"max_wait_ms"`
	MaxBodyBytes int64  `json:"max_body_bytes,omitempty"`
}

type accountDocument struct {
	Teams []teamDocument `json:"teams"`
}

type teamDocument struct {
	ID     string  `json:"id"`
	Weight float64 `json:"weight"`
	Limit  int     `json:"limit"`
}

type endpointsDocument struct {
	Endpoints []endpointDocument `json:"endpoints"`
}

type endpointDocument struct {
	ID          string `json:"id"`
	Host        string `json:"host,omitempty"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Leaving     bool   `json:"leaving,omitempty"`
}

func document(name string, content any) (oas.Document, error) {
	raw, err := encode(name, content)
	if err != nil {
		return oas.Document{}, err
	}
	return oas.Document{Name: name, Content: oas.NewOptString(string(raw))}, nil
}

func (s Service) document() (oas.Document, error) {
	return document("service/"+s.ID, serviceDocument{
		Open:         s.OpenTeam != "",
		OpenTeam:     s.OpenTeam,
		MaxRunTimeMS: s.MaxRunTimeMS,
		MaxWaitMS:    s.MaxWaitMS,
		MaxBodyBytes: s.MaxBodyBytes,
	})
}

// accountDocuments groups the teams by account, in a fixed order.
func accountDocuments(teams []Team) ([]oas.Document, error) {
	byAccount := map[string]*accountDocument{}
	var names []string
	for _, t := range teams {
		account := byAccount[t.Account]
		if account == nil {
			account = &accountDocument{}
			byAccount[t.Account] = account
			names = append(names, t.Account)
		}
		account.Teams = append(account.Teams, teamDocument{ID: t.ID, Weight: t.Weight, Limit: t.Limit})
	}
	slices.Sort(names)
	var docs []oas.Document
	for _, n := range names {
		d, err := document("account/"+n, byAccount[n])
		if err != nil {
			return nil, err
		}
		docs = append(docs, d)
	}
	return docs, nil
}

func (c *Cell) endpointsDocument(service string) (oas.Document, error) {
	doc := endpointsDocument{Endpoints: []endpointDocument{}}
	for _, e := range c.Endpoints {
		if e.Service.ID != service {
			continue
		}
		doc.Endpoints = append(doc.Endpoints, endpointDocument{
			ID:          e.ID,
			Address:     e.Address,
			Slots:       e.Service.Slots,
			Connections: e.Service.Connections,
			Leaving:     e.Leaving,
		})
	}
	return document("endpoints/"+service, doc)
}
