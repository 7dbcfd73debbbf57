package tool

import (
	"crypto/rand"
	_ "embed" // embeds example.toml
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"github.com/shedhoist/shedhoist/internal/view"
)

//go:embed example.toml
var exampleConfig string

// newKey returns 32 random bytes in hexadecimal.
func newKey() string {
	b := make([]byte, 32)
	_, _ = rand.Read(b) // crypto/rand.Read never fails; it ends the process instead
	return hex.EncodeToString(b)
}

// Keys are the keys that init generates. They are printed once and not stored.
type Keys struct {
	Customer string `json:"customer_key"`
	Operator string `json:"operator_key"`
}

func (o *options) initCmd() *cobra.Command {
	return &cobra.Command{Use: "init DIR", Short: "Write a commented example configuration", Example: "  shedhoist init conf/", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			file := filepath.Join(args[0], bundleFile)
			if _, err := os.Stat(file); err == nil {
				return &UsageError{Reason: file + " exists already"}
			}
			k := Keys{Customer: "sk-" + newKey(), Operator: "op-" + newKey()}
			text := strings.NewReplacer("@CUSTOMER_KEY@", view.KeyHash(k.Customer), "@OPERATOR_KEY@", view.KeyHash(k.Operator), "@SECRET@", newKey()).Replace(exampleConfig)
			if err := os.MkdirAll(args[0], 0o755); err != nil {
				return err
			}
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				return err
			}
			return o.print(k, func(w io.Writer) {
				fmt.Fprintf(w, "wrote %s\nkeep these keys, only their hashes are stored:\n  customer\t%s\n  operator\t%s\n", file, k.Customer, k.Operator)
			})
		}}
}
