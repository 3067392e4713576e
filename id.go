package peridotusher

// RouterID names one router process's place in the fleet.
type RouterID string

// EngineID names one model engine replica.
type EngineID string

// Zone names an availability zone.
type Zone string

// RequestID names one request of one caller.
type RequestID string

// ChatKey identifies a returning chat across requests and routers.
type ChatKey string

// PermitID names one permit to send one request to one engine.
type PermitID string

// ChatKeyOf returns the key of an organisation's chat. Chats of different
// organisations never share one.
func ChatKeyOf(organisation, name string) ChatKey {
	return ChatKey(organisation + "/" + name)
}
