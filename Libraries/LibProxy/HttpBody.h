#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace Stagepost {

// The body of a request. Copies share the bytes, which never change.
class HttpBody {
public:
    HttpBody() = default;
    HttpBody(std::string text)
        : HttpBody(std::make_shared<std::string const>(std::move(text)))
    {
    }
    HttpBody(char const* text)
        : HttpBody(std::string(text))
    {
    }
    // The owner keeps the bytes alive.
    HttpBody(std::shared_ptr<void const> owner, std::string_view bytes)
        : m_owner(std::move(owner))
        , m_bytes(bytes)
    {
    }

    operator std::string_view() const { return m_bytes; }
    std::string_view bytes() const { return m_bytes; }
    size_t size() const { return m_bytes.size(); }
    bool empty() const { return m_bytes.empty(); }

    friend bool operator==(HttpBody const& body, std::string_view bytes) { return body.m_bytes == bytes; }

private:
    explicit HttpBody(std::shared_ptr<std::string const> const& text)
        : m_owner(text)
        , m_bytes(*text)
    {
    }

    std::shared_ptr<void const> m_owner;
    std::string_view m_bytes;
};

}
