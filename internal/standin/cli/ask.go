package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/shedhoist/shedhoist/internal/standin/fleet"
)

// askTimeout bounds one of a caller's requests.
const askTimeout = time.Minute

// askCmd plays a caller of a model.
func askCmd() *cobra.Command {
	var base, key, prompt, topic string
	var tokens, size int
	cmd := &cobra.Command{Use: "ask", Short: "A caller: ask for one completion and print what came", Args: cobra.NoArgs,
		Example: "  standin ask --base http://127.0.0.1:8080 --key sk-... --topic labour-code --size 65536 --tokens 16"}
	f := cmd.Flags()
	f.StringVar(&base, "base", "", "callers' address of an entry instance")
	f.StringVar(&key, "key", "", "caller's key")
	f.StringVar(&prompt, "prompt", "", "prompt")
	f.StringVar(&topic, "topic", "", "in place of a prompt: a made-up rulebook on this topic")
	f.IntVar(&size, "size", 64<<10, "bytes of the rulebook")
	f.IntVar(&tokens, "tokens", 16, "tokens to generate")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if topic != "" {
			prompt = fleet.Rulebook(topic, size) + prompt
		}
		ctx, cancel := context.WithTimeout(cmd.Context(), askTimeout)
		defer cancel()
		a, err := fleet.Complete(ctx, base, key, prompt, tokens)
		if err != nil {
			return err
		}
		fmt.Fprintf(cmd.OutOrStdout(), "request %s\nprompt_tokens %d cached %d restored %d\ntext%s\n", a.ID, a.Usage.PromptTokens,
			a.Usage.PromptDetails.CachedTokens, a.Usage.PromptDetails.RestoredTokens, a.Text)
		return nil
	}
	return cmd
}

// httpCmd sends one plain HTTP request, for those who have no other client.
func httpCmd() *cobra.Command {
	var key, body string
	var header []string
	cmd := &cobra.Command{Use: "http METHOD URL", Short: "Send one HTTP request and print status, problem and body", Args: cobra.ExactArgs(2),
		Example: "  standin http POST http://127.0.0.1:9001/standin/faults --body '{\"refuse\":1}'"}
	f := cmd.Flags()
	f.StringVar(&key, "key", "", "bearer key")
	f.StringVar(&body, "body", "", "body; @FILE reads a file")
	f.StringArrayVar(&header, "header", nil, "header line, may be repeated")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if file, ok := strings.CutPrefix(body, "@"); ok {
			data, err := os.ReadFile(file)
			if err != nil {
				return err
			}
			body = string(data)
		}
		ctx, cancel := context.WithTimeout(cmd.Context(), askTimeout)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, args[0], args[1], strings.NewReader(body))
		if err != nil {
			return err
		}
		if key != "" {
			req.Header.Set("Authorization", "Bearer "+key)
		}
		for _, h := range header {
			name, value, _ := strings.Cut(h, ":")
			req.Header.Add(name, strings.TrimSpace(value))
		}
		return printResponse(cmd.OutOrStdout(), req)
	}
	return cmd
}

func printResponse(w io.Writer, req *http.Request) error {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	fmt.Fprintf(w, "status %d\n", resp.StatusCode)
	var doc struct {
		Type      string `json:"type"`
		Execution string `json:"execution"`
	}
	if json.Unmarshal(data, &doc) == nil && doc.Execution != "" {
		fmt.Fprintf(w, "problem %s execution %s\n", doc.Type, doc.Execution)
	}
	fmt.Fprintln(w, string(data))
	return err
}
