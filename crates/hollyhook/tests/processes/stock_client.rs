use async_openai::Client;
use async_openai::config::OpenAIConfig;
use async_openai::types::chat::{ChatCompletionRequestUserMessageArgs, CreateChatCompletionRequestArgs};
use futures::StreamExt;

use crate::fleet::{Fleet, FleetPlan, KEY, MODEL, assert_whole};

const PROMPT: &str = "Draft the donor summary";
/// The prompt as the engines see a conversation.
const SEEN: &str = "user: Draft the donor summary\n";

fn client(fleet: &Fleet) -> Client<OpenAIConfig> {
    let base = format!("http://{}/v1", fleet.daemons[0].address);
    Client::with_config(OpenAIConfig::new().with_api_key(KEY).with_api_base(base))
}

fn split(text: &str) -> Vec<String> {
    text.split_inclusive(' ').map(str::to_owned).collect()
}

#[test]
fn stock_client_unchanged() {
    let fleet = Fleet::start(&FleetPlan::default());
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let client = client(&fleet);
        let message = ChatCompletionRequestUserMessageArgs::default().content(PROMPT).build().unwrap();
        let mut request = CreateChatCompletionRequestArgs::default();
        request.model(MODEL).max_completion_tokens(50_u32).messages([message.into()]);

        let whole = client.chat().create(request.build().unwrap()).await.unwrap();
        let text = whole.choices[0].message.content.clone().unwrap();
        assert_whole(SEEN, &split(&text), 50);
        assert_eq!(whole.usage.unwrap().completion_tokens, 50);

        let mut stream = client.chat().create_stream(request.build().unwrap()).await.unwrap();
        let mut text = String::new();
        while let Some(chunk) = stream.next().await {
            for choice in chunk.unwrap().choices {
                text.push_str(&choice.delta.content.unwrap_or_default());
            }
        }
        assert_whole(SEEN, &split(&text), 50);

        let models = client.models().list().await.unwrap();
        assert_eq!(models.data[0].id, MODEL);
    });
}
