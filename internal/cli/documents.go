package cli

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"samphirestile.example/samphirestile/internal/operatorapi/oas"
	"samphirestile.example/samphirestile/internal/template"
)

const documentSuffix = ".json"

var errDocumentPath = errors.New("not a valid document path")

// DocumentArgs are the arguments that select the documents of a change.
type DocumentArgs struct {
	Paths  []string `arg:"" optional:"" name:"path" help:"Documents as files KIND/NAME.json, or directories that hold such files."`
	Remove []string `help:"Name of a document to remove, as KIND/NAME. May be repeated." placeholder:"KIND/NAME" sep:"none"`
}

// Load reads the documents and sorts them by name.
func (a *DocumentArgs) Load() ([]oas.Document, error) {
	byName := map[string]oas.Document{}
	for _, path := range a.Paths {
		files, err := documentFiles(path)
		if err != nil {
			return nil, err
		}
		for _, file := range files {
			if err := addDocument(byName, file); err != nil {
				return nil, err
			}
		}
	}
	for _, name := range a.Remove {
		if _, duplicate := byName[name]; duplicate {
			return nil, &OptionError{Option: "--remove", Value: name, Allowed: "documents that the change does not replace"}
		}
		byName[name] = oas.Document{Name: name}
	}
	if len(byName) == 0 {
		return nil, &OptionError{Option: "the list of documents", Allowed: "at least one document"}
	}
	documents := make([]oas.Document, 0, len(byName))
	for _, d := range byName {
		documents = append(documents, d)
	}
	slices.SortFunc(documents, func(a, b oas.Document) int { return strings.Compare(a.Name, b.Name) })
	return documents, nil
}

// documentFiles returns path itself if it is a file, or the documents below the directory.
func documentFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, &FileError{Path: path, Cause: err, Advice: "Check the path."}
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	var files []string
	err = filepath.WalkDir(path, func(file string, d fs.DirEntry, err error) error {
		if err == nil && !d.IsDir() && strings.HasSuffix(file, documentSuffix) {
			files = append(files, file)
		}
		return err
	})
	if err != nil {
		return nil, &FileError{Path: path, Cause: err, Advice: "Check the permissions of the directory."}
	}
	return files, nil
}

func addDocument(byName map[string]oas.Document, file string) error {
	absolute, err := filepath.Abs(file)
	if err != nil {
		return &FileError{Path: file, Cause: err, Advice: "Check the path."}
	}
	name := filepath.Base(filepath.Dir(absolute)) + "/" + strings.TrimSuffix(filepath.Base(absolute), documentSuffix)
	_, _, ok := template.SplitName(name)
	if _, duplicate := byName[name]; duplicate || !ok || !strings.HasSuffix(file, documentSuffix) {
		return &FileError{Path: file, Cause: errDocumentPath, Advice: "Name each document once, as KIND/NAME.json with kind service, pool, fleet, account or endpoints."}
	}
	content, err := ReadFile(file)
	if err != nil {
		return err
	}
	byName[name] = oas.Document{Name: name, Content: oas.NewOptString(string(content))}
	return nil
}

// NewChangeID returns a random change ID.
func NewChangeID() string {
	var b [8]byte
	// Read never returns an error; it crashes the process if no randomness is available.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
