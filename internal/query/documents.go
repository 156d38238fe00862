package query

import (
	"samphirestile.example/samphirestile/internal/cli"
	"samphirestile.example/samphirestile/internal/operatorapi/oas"
)

// loadDocumentsAndConfig reads the documents of a subcommand and fetches the configuration in
// force. It also returns the client.
func loadDocumentsAndConfig(e *cli.Environment, args *cli.DocumentArgs) ([]oas.Document, *oas.Client, *oas.Config, error) {
	documents, err := args.Load()
	if err != nil {
		return nil, nil, nil, err
	}
	client, err := e.Client()
	if err != nil {
		return nil, nil, nil, err
	}
	current, err := client.GetConfig(e.Context)
	if err != nil {
		return nil, nil, nil, err
	}
	return documents, client, current, nil
}
