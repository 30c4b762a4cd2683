package local

import (
	"os"
	"os/exec"
	"path/filepath"

	"github.com/pkg/errors"
)

// programs are the main packages that a local system runs.
var programs = []string{"./cmd/sassafraspostd", "./cmd/sassafraspost", "./cmd/sassafraspost-node", "./test/cmd/standin"}

// Build compiles the programs into dir.
func Build(dir string) error {
	root, err := moduleRoot()
	if err != nil {
		return err
	}
	args := append([]string{"build", "-o", dir + string(filepath.Separator)}, programs...)
	cmd := exec.Command("go", args...)
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return errors.Wrapf(err, "build: %s", out)
	}
	return nil
}

// moduleRoot returns the closest folder with a go.mod file, from the working folder upwards.
func moduleRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", errors.New("no go.mod above the working folder")
		}
		dir = parent
	}
}
