package answertest

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"peridotusher.example/peridotusher/testbed"
)

// TestOfficialClient sends requests to a router with the official OpenAI client library.
func TestOfficialClient(t *testing.T) {
	bed := start(t, testbed.Options{Zones: []string{"a"}, RoutersPerZone: 1})
	client := openai.NewClient(option.WithBaseURL(bed.Routers[0].URL+"/v1"), option.WithAPIKey(apiKey), option.WithMaxRetries(0))
	ctx := context.Background()
	params := openai.ChatCompletionNewParams{
		Model:               "stylist",
		Messages:            []openai.ChatCompletionMessageParamUnion{openai.UserMessage("fit of a boot")},
		MaxCompletionTokens: openai.Int(12),
	}
	c := chat{messages: []byte(`[{"role":"user","content":"fit of a boot"}]`), tokens: 12}
	const idPrefix = len("chatcmpl-")

	t.Run("not streamed", func(t *testing.T) {
		got, err := client.Chat.Completions.New(ctx, params)
		if err != nil {
			t.Fatal(err)
		}
		want, err := c.answer(got.ID[idPrefix:])
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got.Choices[0].Message.Content); diff != "" {
			t.Errorf("answer (-want +got):\n%s", diff)
		}
		if got.Usage.CompletionTokens != 12 {
			t.Errorf("usage counts %d tokens, want 12", got.Usage.CompletionTokens)
		}
	})
	t.Run("streamed", func(t *testing.T) {
		stream := client.Chat.Completions.NewStreaming(ctx, params)
		defer stream.Close()
		var acc openai.ChatCompletionAccumulator
		for stream.Next() {
			if !acc.AddChunk(stream.Current()) {
				t.Fatalf("chunk does not belong to the answer: %s", stream.Current().RawJSON())
			}
		}
		if err := stream.Err(); err != nil {
			t.Fatal(err)
		}
		want, err := c.answer(acc.ID[idPrefix:])
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, acc.Choices[0].Message.Content); diff != "" {
			t.Errorf("answer (-want +got):\n%s", diff)
		}
	})
	t.Run("models", func(t *testing.T) {
		page, err := client.Models.List(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if len(page.Data) != 1 || page.Data[0].ID != "stylist" {
			t.Errorf("models %+v, want stylist", page.Data)
		}
	})
}
