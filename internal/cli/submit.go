package cli

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/sassafraspost/sassafraspost/api/oas"
	"github.com/sassafraspost/sassafraspost/internal/document"
)

// changeIDPattern is the format of change ids that the administration API accepts.
var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{8,64}$`)

// submission is one change. Every attempt to submit it sends the same data.
type submission struct {
	name     string
	base     uint64
	changeID string
	text     []byte
}

func newSubmit(o *options) *cobra.Command {
	s := &submission{}
	cmd := &cobra.Command{
		Use:   "submit FILE",
		Short: "Submit a document",
		Long: `Submit a document under the name that its section [service] states.

Of two changes on the same revision one wins, and the other ends with a conflict.
Where the answer is lost, the tool asks the next server with the same change id,
so that the change is made once; after exit code 5 send it again with --change-id.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := s.load(args[0]); err != nil {
				return err
			}
			return s.run(cmd.Context(), o)
		},
	}
	cmd.Flags().Uint64Var(&s.base, "base", 0, "revision that the change is based on; 0 for a new document")
	cmd.Flags().StringVar(&s.changeID, "change-id", "", "name of the change, to send it again (default: a new one)")
	return cmd
}

// load reads and checks the file, so that an invalid document is reported without calling a
// server.
func (s *submission) load(path string) error {
	text, doc, err := readDocument(path)
	if err != nil {
		return err
	}
	if s.changeID == "" {
		s.changeID = rand.Text()
	}
	if !changeIDPattern.MatchString(s.changeID) {
		return errors.Errorf("--change-id %q is not of 8 to 64 letters, digits, dots, dashes and underscores", s.changeID)
	}
	s.name = doc.Service.Name
	s.text = text
	return nil
}

func (s *submission) run(ctx context.Context, o *options) error {
	c, err := newClient(o)
	if err != nil {
		return err
	}
	response, err := callServers(ctx, c, retryIdempotent, s.send)
	if code := exitCode(err); code == ExitUnknown || code == ExitNotRun {
		o.out.note("to send it again: --base %d --change-id %s", s.base, s.changeID)
	}
	if err != nil {
		return err
	}
	return o.out.result(response, func(w io.Writer) {
		repeated := ""
		if response.Repeated {
			repeated = " (accepted before)"
		}
		fmt.Fprintf(w, "%s: revision %d accepted%s\n", response.Name, response.Revision, repeated)
	})
}

func (s *submission) send(ctx context.Context, server *oas.Client) (*oas.Accepted, error) {
	body := &oas.PutDocumentReqTextPlain{Data: bytes.NewReader(s.text)}
	response, err := server.PutDocument(ctx, body, oas.PutDocumentParams{
		Name:     s.name,
		IfMatch:  strconv.Quote(strconv.FormatUint(s.base, 10)),
		ChangeID: s.changeID,
	})
	if err != nil {
		return nil, err
	}
	return &response.Response, nil
}

// readDocument reads and checks a file.
func readDocument(path string) ([]byte, *document.Document, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, nil, err
	}
	defer file.Close()
	// Reading one byte more than allowed is enough to detect that the file is too long.
	text, err := io.ReadAll(io.LimitReader(file, document.MaxSize+1))
	if err != nil {
		return nil, nil, err
	}
	doc, err := document.Parse(text)
	return text, doc, err
}

func newCheck(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check documents without submitting them",
		Long: `Check documents without submitting them: by themselves and against each other,
without a server. With --server each one is also checked against the accepted ones.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return checkFiles(cmd, o, args)
		},
	}
}

func checkFiles(cmd *cobra.Command, o *options, paths []string) error {
	var texts [][]byte
	var docs []*document.Document
	for _, path := range paths {
		text, doc, err := readDocument(path)
		if err != nil {
			return errors.Wrap(err, path)
		}
		texts = append(texts, text)
		docs = append(docs, doc)
	}
	if err := document.CheckConflicts(docs); err != nil {
		return err
	}
	for i, doc := range docs {
		if err := checkDocument(cmd, o, texts[i], doc); err != nil {
			return err
		}
	}
	return nil
}

func checkDocument(cmd *cobra.Command, o *options, text []byte, doc *document.Document) error {
	printChecked := func(w io.Writer, c *oas.Checked) { fmt.Fprintf(w, "%s: valid, digest %s\n", c.Name, c.Digest) }
	if len(o.servers) == 0 {
		response := &oas.Checked{Name: doc.Service.Name, Digest: doc.Digest.String()}
		return o.out.result(response, func(w io.Writer) { printChecked(w, response) })
	}
	send := func(ctx context.Context, s *oas.Client) (*oas.Checked, error) {
		return s.CheckDocument(ctx, &oas.CheckDocumentReqTextPlain{Data: bytes.NewReader(text)})
	}
	return callAndPrint(cmd, o, retryRead, send, printChecked)
}
