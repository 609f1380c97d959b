package report

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// WriteFile writes a file atomically: it writes to a temporary file in the same directory and renames it, so that
// readers never see a partial file.
func WriteFile(name string, write func(w io.Writer) error) error {
	f, err := os.CreateTemp(filepath.Dir(name), "."+filepath.Base(name)+".*")
	if err != nil {
		return err
	}
	err = writeContent(f, name, write)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(f.Name(), name)
	}
	if err != nil {
		_ = os.Remove(f.Name()) // the first error is the one to report
	}
	return err
}

// writeContent writes the content of the temporary file f and makes it readable for everyone. Errors name the final
// file.
func writeContent(f *os.File, name string, write func(w io.Writer) error) error {
	if err := write(f); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return f.Chmod(0o644)
}

// JSON writes v as indented JSON.
func JSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return enc.Encode(v)
}
