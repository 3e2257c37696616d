// See the header.
#include "gateway/request_fingerprint.h"

#include <openssl/evp.h>

#include <array>
#include <cstdint>
#include <cstring>
#include <memory>
#include <string>

namespace burdocklock::gateway {

namespace {

void AppendNumber(std::uint64_t number, std::string& out) {
  std::array<char, sizeof number> bytes{};
  std::memcpy(bytes.data(), &number, sizeof number);
  out.append(bytes.data(), bytes.size());
}

// With its length, so that no two sequences of texts are equal when joined.
void AppendText(std::string_view text, std::string& out) {
  AppendNumber(text.size(), out);
  out.append(text);
}

std::string BuildHead(const customer_id& customer,
                      const request_content& content) {
  std::string head;
  AppendText(customer.value(), head);
  AppendText(content.method, head);
  AppendText(content.path, head);
  if (content.prompt != nullptr) {
    AppendNumber(content.prompt->parts.size(), head);
    for (const targets::prompt_part& part : content.prompt->parts) {
      AppendNumber(part.id, head);
    }
  }
  return head;
}

}  // namespace

std::optional<request_fingerprint> FingerprintOf(
    const customer_id& customer,
    const request_content& content) {
  const std::string head = BuildHead(customer, content);
  std::string size;
  AppendNumber(head.size(), size);
  const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(
      EVP_MD_CTX_new(), &EVP_MD_CTX_free);
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  const bool hashed =
      context != nullptr &&
      EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) == 1 &&
      EVP_DigestUpdate(context.get(), size.data(), size.size()) == 1 &&
      EVP_DigestUpdate(context.get(), head.data(), head.size()) == 1 &&
      EVP_DigestUpdate(context.get(), content.body.data(),
                       content.body.size()) == 1 &&
      EVP_DigestFinal_ex(context.get(), digest.data(), nullptr) == 1;
  if (!hashed) {
    return std::nullopt;
  }
  std::uint64_t value = 0;
  std::memcpy(&value, digest.data(), sizeof value);
  return request_fingerprint(value);
}

std::optional<stream_key> StreamKeyOf(const customer_id& customer,
                                      std::string_view request_name) {
  std::string identity;
  AppendText(customer.value(), identity);
  AppendText(request_name, identity);
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  if (EVP_Digest(identity.data(), identity.size(), digest.data(), nullptr,
                 EVP_sha256(), nullptr) != 1) {
    return std::nullopt;
  }
  std::uint64_t value = 0;
  std::memcpy(&value, digest.data(), sizeof value);
  return stream_key(value);
}

}  // namespace burdocklock::gateway
