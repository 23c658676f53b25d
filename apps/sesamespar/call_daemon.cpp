#include "call_daemon.h"

#include "connection/http_call.h"
#include "connection/json_text.h"

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>

namespace sesamespar {

namespace {

constexpr std::size_t maxSecretFileBytes = 4096;

std::optional<std::string> readSecret(const command_options &options)
{
    if (!options.secretFile.empty()) {
        const auto text = readInput(options.secretFile, maxSecretFileBytes);
        if (!text) {
            return std::nullopt;
        }
        return text->substr(0, text->find_first_of("\r\n"));
    }
    const char *text = std::getenv("SESAMESPAR_SECRET");
    if (text == nullptr) {
        printError("no secret, expected --secret-file FILE or SESAMESPAR_SECRET in the environment");
        return std::nullopt;
    }
    return text;
}

std::string readStream(std::istream &stream, std::size_t limit)
{
    std::string text(limit + 1, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(stream.gcount()));
    return text;
}

} // namespace

caller_client_ptr openClient(const command_options &options)
{
    if (options.daemons.empty()) {
        printError("no daemon, expected --daemon HOST:PORT or SESAMESPAR_DAEMONS in the environment");
        return nullptr;
    }
    const auto secret = readSecret(options);
    if (!secret) {
        return nullptr;
    }
    limitHttpThreads(2);
    caller_client_settings settings;
    settings.daemons = options.daemons;
    settings.secret = *secret;
    settings.limit = options.limit;
    auto client = makeCallerClient(std::move(settings));
    if (!client) {
        printError(client.error().message);
        return nullptr;
    }
    return std::move(client).value();
}

std::optional<std::string> readInput(const std::string &file, std::size_t limit)
{
    if (file == "-") {
        return readStream(std::cin, limit);
    }
    std::ifstream stream(file, std::ios::binary);
    if (!stream) {
        printError("cannot open \"" + file + "\": " + std::strerror(errno)); // NOLINT: one thread
        return std::nullopt;
    }
    std::string text = readStream(stream, limit);
    if (stream.bad()) {
        printError("cannot read \"" + file + "\": " + std::strerror(errno)); // NOLINT: one thread
        return std::nullopt;
    }
    return text;
}

exit_status printAnswer(const command_options &options, const result<std::string> &answer)
{
    if (!answer) {
        printError(answer.error().message);
        return exit_status::Refused;
    }
    printText(options.json ? answer.value() : formatJsonAsTable(answer.value()));
    return exit_status::Done;
}

void printText(const std::string &text)
{
    std::cout << text;
    if (text.empty() || text.back() != '\n') {
        std::cout << '\n';
    }
}

} // namespace sesamespar
