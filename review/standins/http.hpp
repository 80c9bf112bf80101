// HTTP/1.1 with CBOR bodies over loopback: a server with a thread for each connection,
// and a client that opens a connection for each request.
#pragma once
#include "value.hpp"

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <fcntl.h>
#include <functional>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

// Seconds since the start of the process.
inline double now()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
        .count();
}

inline void pause_s(double s)
{
    if (s > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(s));
}

struct Request {
    std::string method, path, body;
    std::map<std::string, std::string> query;
};

struct Response {
    int status = 200;
    Value body;
    bool has_body = false;
    bool drop = false; // close the connection without an answer
    Response(int s) : status(s)
    {
    }
    Response(int s, Value v) : status(s), body(std::move(v)), has_body(true)
    {
    }
    static Response none()
    {
        Response r(0);
        r.drop = true;
        return r;
    }
};

inline bool send_all(int fd, const std::string &bytes)
{
    size_t sent = 0;
    while (sent < bytes.size()) {
        ssize_t n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += (size_t)n;
    }
    return true;
}

// Reads one message. `pending` holds bytes that were read past the last message.
inline bool read_message(int fd, std::string &pending, std::string &head,
                         std::string &body, double deadline)
{
    size_t head_end;
    size_t need = 0;
    bool have_head = false;
    for (;;) {
        if (!have_head && (head_end = pending.find("\r\n\r\n")) != std::string::npos) {
            head = pending.substr(0, head_end + 2);
            have_head = true;
            size_t length = 0;
            std::string lower;
            for (char c : head)
                lower += (char)tolower(c);
            size_t p = lower.find("\r\ncontent-length:");
            if (p != std::string::npos)
                length = strtoul(lower.c_str() + p + 17, nullptr, 10);
            need = head_end + 4 + length;
        }
        if (have_head && pending.size() >= need) {
            body = pending.substr(head_end + 4, need - head_end - 4);
            pending.erase(0, need);
            return true;
        }
        struct pollfd p = {fd, POLLIN, 0};
        double left = deadline - now();
        if (left <= 0 || poll(&p, 1, (int)(left * 1000) + 1) <= 0)
            return false;
        char buffer[65536];
        ssize_t n = recv(fd, buffer, sizeof buffer, 0);
        if (n <= 0)
            return false;
        pending.append(buffer, (size_t)n);
    }
}

inline int listen_on(int &port)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;
    struct sockaddr_in a = {};
    a.sin_family = AF_INET;
    a.sin_port = htons((uint16_t)port);
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (bind(fd, (struct sockaddr *)&a, sizeof a) != 0 || listen(fd, 256) != 0) {
        close(fd);
        return -1;
    }
    socklen_t len = sizeof a;
    getsockname(fd, (struct sockaddr *)&a, &len);
    port = ntohs(a.sin_port);
    return fd;
}

// A port that is free now, below those that the system gives to outgoing connections.
inline int free_port()
{
    static std::mt19937 random{std::random_device{}()};
    for (;;) {
        int port = std::uniform_int_distribution<int>(10000, 32000)(random);
        int fd = listen_on(port);
        if (fd < 0)
            continue;
        close(fd);
        return port;
    }
}

using Handler = std::function<Response(const Request &)>;

inline void serve_connection(int fd, const Handler &handler)
{
    std::string pending, head, body;
    int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    while (read_message(fd, pending, head, body, now() + 3600)) {
        Request r;
        r.body = body;
        size_t a = head.find(' '), b = head.find(' ', a + 1);
        r.method = head.substr(0, a);
        std::string target = head.substr(a + 1, b - a - 1);
        size_t q = target.find('?');
        r.path = target.substr(0, q);
        while (q != std::string::npos) {
            size_t e = target.find('&', q + 1);
            std::string pair =
                target.substr(q + 1, e == std::string::npos ? e : e - q - 1);
            size_t eq = pair.find('=');
            if (eq != std::string::npos)
                r.query[pair.substr(0, eq)] = pair.substr(eq + 1);
            q = e;
        }
        Response response = handler(r);
        if (response.drop)
            break;
        std::string bytes, out;
        if (response.has_body)
            encode(bytes, response.body);
        out = "HTTP/1.1 " + std::to_string(response.status) +
              " X\r\nContent-Type: application/cbor\r\nContent-Length: " +
              std::to_string(bytes.size()) + "\r\n\r\n" + bytes;
        if (!send_all(fd, out))
            break;
        if (head.find("Connection: close") != std::string::npos)
            break;
    }
    close(fd);
}

// Serves until the process ends, or until `listener` is closed.
inline int serve(int port, Handler handler, int *listener = nullptr)
{
    int fd = listen_on(port);
    if (fd < 0)
        return -1;
    if (listener)
        *listener = fd;
    std::thread([fd, handler] {
        for (;;) {
            int c = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (c < 0 && (errno == EINTR || errno == ECONNABORTED))
                continue;
            if (c < 0)
                return;
            std::thread([c, handler] { serve_connection(c, handler); }).detach();
        }
    }).detach();
    return port;
}

enum { NO_RESPONSE = -1, NO_CONNECTION = -2 };

// Sends one request. Returns the status, or one of the negative codes.
inline int call(int port, const std::string &method, const std::string &path,
                const Value *body, double timeout_s, Value *out)
{
    double deadline = now() + timeout_s;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0), one = 1;
    struct sockaddr_in a = {};
    a.sin_family = AF_INET;
    a.sin_port = htons((uint16_t)port);
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    if (connect(fd, (struct sockaddr *)&a, sizeof a) != 0) {
        struct pollfd p = {fd, POLLOUT, 0};
        int error = 0;
        socklen_t len = sizeof error;
        if (errno != EINPROGRESS || poll(&p, 1, (int)(timeout_s * 1000)) <= 0 ||
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0 || error) {
            close(fd);
            return NO_CONNECTION;
        }
    }
    fcntl(fd, F_SETFL, 0);
    std::string bytes, pending, head, answer;
    if (body)
        encode(bytes, *body);
    std::string request = method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\n";
    if (body)
        request += "Content-Type: application/cbor\r\nContent-Length: " +
                   std::to_string(bytes.size()) + "\r\n";
    else if (method != "GET")
        request += "Content-Length: 0\r\n";
    request += "Connection: close\r\n\r\n" + bytes;
    int status = NO_RESPONSE;
    if (send_all(fd, request) && read_message(fd, pending, head, answer, deadline)) {
        size_t space = head.find(' ');
        status = atoi(head.c_str() + space + 1);
        if (out) {
            *out = Value();
            if (!answer.empty())
                decode(answer, *out);
        }
    }
    close(fd);
    return status;
}
