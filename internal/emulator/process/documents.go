package process

import (
	"maps"
	"slices"

	"samphirestile.example/samphirestile/internal/operatorapi/oas"
)

// harnessPool is the only pool of a cell. It has no hosts, because requests need none.
const harnessPool = "main"

type template struct {
	Body any `json:"body"`
}

type serviceBody struct {
	Open         bool   `json:"open,omitempty"`
	OpenTeam     string `json:"open_team,omitempty"`
	MaxRunTimeMS int    `json:"max_run_time_ms"`
	MaxWaitMS    int    `json:"max_wait_ms"`
	MaxBodyBytes int64  `json:"max_body_bytes,omitempty"`
	Pool         string `json:"pool"`
}

type poolBody struct{}

type accountDocument struct {
	Templates []templateReference `json:"templates"`
	Teams     []teamDocument      `json:"teams"`
}

type templateReference struct {
	Template string `json:"template"`
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
	return document("service/"+s.ID, template{Body: serviceBody{
		Open:         s.OpenTeam != "",
		OpenTeam:     s.OpenTeam,
		MaxRunTimeMS: s.MaxRunTimeMS,
		MaxWaitMS:    s.MaxWaitMS,
		MaxBodyBytes: s.MaxBodyBytes,
		Pool:         harnessPool,
	}})
}

// accountDocuments groups the teams by account, in a fixed order. Each account
// uses the pool and every service.
func (c *Cell) accountDocuments() ([]oas.Document, error) {
	references := []templateReference{{Template: "pool/" + harnessPool}}
	for _, s := range c.Services {
		references = append(references, templateReference{Template: "service/" + s.ID})
	}
	byAccount := map[string]*accountDocument{}
	for _, t := range c.Teams {
		account := byAccount[t.Account]
		if account == nil {
			account = &accountDocument{Templates: references}
			byAccount[t.Account] = account
		}
		account.Teams = append(account.Teams, teamDocument{ID: t.ID, Weight: t.Weight, Limit: t.Limit})
	}
	var docs []oas.Document
	for _, name := range slices.Sorted(maps.Keys(byAccount)) {
		d, err := document("account/"+name, byAccount[name])
		if err != nil {
			return nil, err
		}
		docs = append(docs, d)
	}
	return docs, nil
}

// documents returns the whole configuration of the cell.
func (c *Cell) documents() ([]oas.Document, error) {
	docs, err := c.accountDocuments()
	if err != nil {
		return nil, err
	}
	pool, err := document("pool/"+harnessPool, template{Body: poolBody{}})
	if err != nil {
		return nil, err
	}
	docs = append(docs, pool)
	for _, s := range c.Services {
		service, err := s.document()
		if err != nil {
			return nil, err
		}
		endpoints, err := c.endpointsDocument(s.ID)
		if err != nil {
			return nil, err
		}
		docs = append(docs, service, endpoints)
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
