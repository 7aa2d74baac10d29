package scenarios

import (
	"os"
	"path/filepath"
)

// shared copies the files that all scripts use into the folder of one.
func shared(directory string) error {
	files, err := filepath.Glob(filepath.Join("testdata", "*"))
	if err != nil {
		return err
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(directory, filepath.Base(file)), text, 0o600); err != nil {
			return err
		}
	}
	return nil
}
